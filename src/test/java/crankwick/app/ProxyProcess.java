package crankwick.app;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Starts the built program as a process and observes it from outside. */
final class ProxyProcess {
    private ProxyProcess() {}

    /** Starts the built program; either configuration may be null. */
    static Process start(Path platform, Path operator) throws IOException {
        return start(platform, operator, List.of(), "-Xmx64m");
    }

    /** As above, with the command that launches the program, and its maximum heap as a Java option. */
    static Process start(Path platform, Path operator, List<String> launcher, String heap) throws IOException {
        List<String> command = new ArrayList<>(launcher);
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", heap));
        command.addAll(List.of(System.getProperty("crankwick.jvm", "").split(" ")));
        command.removeIf(String::isEmpty);
        command.addAll(List.of("-jar", "target/crankwick.jar", "serve"));
        if (operator != null) {
            command.add(operator.toString());
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        if (platform != null) {
            builder.environment().put("ROUTER_CONFIG", platform.toString());
        }
        return builder.start();
    }

    /**
     * One of the cores on which this process may run, counted from the last; tests that run at the same time use
     * different ones.
     */
    static String allowedCore(int fromLast) throws IOException {
        String ranges = Files.readAllLines(Path.of("/proc/self/status")).stream()
                .filter(line -> line.startsWith("Cpus_allowed_list:"))
                .map(line -> line.replaceAll(".*:\\s*", ""))
                .findAny()
                .orElseThrow();
        List<Integer> cores = new ArrayList<>();
        for (String range : ranges.split(",")) {
            String[] ends = range.split("-");
            for (int core = Integer.parseInt(ends[0]); core <= Integer.parseInt(ends[ends.length - 1]); core++) {
                cores.add(core);
            }
        }
        return cores.get(cores.size() - 1 - fromLast % cores.size()).toString();
    }

    /** Collects the output of a process in a thread that ends with it; the log must be safe for concurrent reads. */
    static Thread collectLog(Process process, List<String> log) {
        Thread logReader = new Thread(
                () -> new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))
                        .lines()
                        .forEach(log::add));
        logReader.setDaemon(true);
        logReader.start();
        return logReader;
    }

    /** Waits for the program's listener with this index, in the order of start, and returns its port. */
    static int awaitListenPort(List<String> log, int index) throws IOException, InterruptedException {
        for (int i = 0; i < 1_500; i++) {
            List<String> listeningLines =
                    log.stream().filter(line -> line.contains("listening on")).toList();
            if (listeningLines.size() > index) {
                return Integer.parseInt(listeningLines.get(index).replaceAll(".*:", ""));
            }
            Thread.sleep(20);
        }
        throw new IOException("did not listen within 30 s: " + log);
    }

    /** The size of the objects in use on the program's heap, after a garbage collection. */
    static long liveHeapKilobytes(Process process) throws IOException, InterruptedException {
        diagnose(process, "GC.run");
        return diagnose(process, "GC.heap_info")
                .lines()
                .filter(line -> line.contains(" generation "))
                .mapToLong(line -> Long.parseLong(line.replaceAll(".* used (\\d+)K.*", "$1")))
                .sum();
    }

    private static String diagnose(Process process, String command) throws IOException, InterruptedException {
        String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        Process diagnosis = new ProcessBuilder(jcmd, Long.toString(process.pid()), command).start();
        String output = new String(diagnosis.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        diagnosis.waitFor();
        return output;
    }

    /** The lines in which the program reports that its threads were late. */
    static List<String> lateLines(List<String> log) {
        return log.stream().filter(line -> line.contains(" ms late; ")).toList();
    }
}
