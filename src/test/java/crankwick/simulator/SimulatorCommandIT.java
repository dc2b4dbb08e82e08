package crankwick.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs {@code simhost} from the built jar with redirected standard input and output. */
class SimulatorCommandIT {
    @TempDir
    private Path directory;

    private int run(String input) throws IOException, InterruptedException {
        Path in = Files.writeString(directory.resolve("in"), input);
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        return new ProcessBuilder(
                        java,
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-XX:-UsePerfData",
                        "-jar",
                        "target/crankwick.jar",
                        "simhost")
                .redirectInput(in.toFile())
                .redirectOutput(file("out"))
                .redirectError(file("err"))
                .start()
                .waitFor();
    }

    private File file(String name) {
        return directory.resolve(name).toFile();
    }

    private String read(String name) throws IOException {
        return Files.readString(directory.resolve(name), StandardCharsets.UTF_8);
    }

    @Test
    void answersTranscriptAndExitsAtEndOfInput() throws Exception {
        int status =
                run(WireTranscript.START + "sync 5001\ninstance 0\nknock 00000000000000ff - 4 0 1 - 4 5801.5 77\ngo\n");
        assertEquals(0, status, read("err"));
        assertTrue(read("out").contains("route 00000000000000ff 10.0.0.1:1 -\n"), read("out"));
        assertTrue(read("out").endsWith("ready\n"));
        assertEquals("", read("err"));
    }

    @Test
    void malformedInputExitsWithStatusTwoAndOneErrorLine() throws Exception {
        assertEquals(2, run("sync 1\nnonsense 3\ngo\n"));
        assertEquals("", read("out"));
        assertEquals("line 2: unknown message: nonsense 3\n", read("err"));
    }
}
