package crankwick.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.File;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs the built jar from the command line. */
public class CommandsIT {
    private record Run(int status, List<String> out, List<String> err) {}

    private static Run run(String... args) throws Exception {
        File out = File.createTempFile("out", null);
        File err = File.createTempFile("err", null);
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-jar",
                "target/crankwick.jar"));
        command.addAll(List.of(args));
        ProcessBuilder builder = new ProcessBuilder(command).redirectOutput(out).redirectError(err);
        builder.environment().remove("ROUTER_CONFIG");
        int status = builder.start().waitFor();
        Run run = new Run(
                status,
                Files.readAllLines(out.toPath(), StandardCharsets.UTF_8),
                Files.readAllLines(err.toPath(), StandardCharsets.UTF_8));
        Files.delete(out.toPath());
        Files.delete(err.toPath());
        return run;
    }

    @DataProvider
    public Object[][] invalidArguments() {
        return new Object[][] {
            {new String[] {}},
            {new String[] {"nonsense"}},
            {new String[] {"lab"}},
            {new String[] {"lab", "handover", "--groups", "0"}},
            {new String[] {"lab", "handover", "--seed", "x"}},
            {new String[] {"lab", "drains", "--proxies", "0"}},
            {new String[] {"lab", "handover", "--fault", "nonsense"}},
            {new String[] {"serve"}},
            {new String[] {"emulate", "--wire", "x"}},
            {new String[] {"serve", "--nonsense"}},
            {new String[] {"serve", "a", "b"}}
        };
    }

    @Test(dataProvider = "invalidArguments")
    public void invalidArgumentsExitWithStatusTwoAndOneLine(String[] args) throws Exception {
        Run run = run(args);
        assertEquals(run.status(), 2, run.toString());
        assertEquals(run.err().size(), 1, run.toString());
        assertEquals(run.out().size(), 0, run.toString());
    }

    @DataProvider
    public Object[][] commands() {
        return new Object[][] {{""}, {"serve"}, {"simhost"}, {"lab"}, {"lab handover"}, {"lab drains"}, {"emulate"}};
    }

    @Test(dataProvider = "commands")
    public void eachCommandHasHelpAndVersion(String command) throws Exception {
        for (String option : List.of("--help", "--version")) {
            Run run = run((command + " " + option).strip().split(" "));
            assertEquals(run.status(), 0, run.toString());
            String expected = option.equals("--help") ? "Usage: " : "crankwick ";
            assertTrue(run.out().get(0).startsWith(expected), run.toString());
        }
    }

    @Test
    public void lastSimulationOutputLineContainsTheFigures() throws Exception {
        Run run = run("lab", "handover", "--groups", "2", "--failovers", "10", "--seed", "5", "--json");
        assertEquals(run.status(), 0, run.toString());
        JsonObject figures =
                JsonParser.parseString(run.out().get(run.out().size() - 1)).getAsJsonObject();
        for (String name : List.of(
                "failovers",
                "keys",
                "applied_twice",
                "served_not_applied",
                "second_attempts",
                "answers_late",
                "answers_missing",
                "drain_violations",
                "reachable",
                "served_of_reachable",
                "held_max")) {
            assertTrue(figures.has(name), name);
        }
        assertTrue(figures.get("failovers").getAsLong() >= 10);
    }

    @Test
    public void violationIsTracedAndExitsWithStatusOne() throws Exception {
        Run run = run("lab", "handover", "--failovers", "40", "--fault", "held-sent-twice", "--json");
        assertEquals(run.status(), 1, run.toString());
        assertTrue(run.out().get(0).startsWith("violation: a second attempt"), run.toString());
        assertTrue(run.out().stream().anyMatch(line -> line.startsWith("replay: lab handover ")));
    }
}
