import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/**
 * One run of a case: its temporary folder, its record, and the processes that it started. The proxy is started with the
 * `run` command of deploy/balancer.toml, from the root of the repository.
 */
final class Rig implements AutoCloseable {
    /** Exit codes of a case. */
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long START_NANOS = System.nanoTime();
    private static final long START_MILLIS = System.currentTimeMillis();

    final Path folder;
    private final PrintWriter record;
    private final List<Process> processes = new CopyOnWriteArrayList<>();

    interface Body {
        /** Runs the case; returns the breaks of the rule, none if it held. */
        List<String> run(Rig rig) throws Exception;
    }

    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String message) {
            super(message);
        }
    }

    private Rig(Path caseFolder) throws IOException {
        folder = Files.createTempDirectory("crankwick-review");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Runs a case and exits with its code. */
    static void main(String caseFolder, Body body) throws IOException {
        Rig rig = new Rig(Path.of(caseFolder));
        int code;
        rig.note("TROUBLE=" + (TROUBLE ? 1 : 0));
        try {
            List<String> breaks = body.run(rig);
            for (String line : breaks.subList(0, Math.min(40, breaks.size()))) {
                rig.note("BREAK " + line);
                System.out.println("BREAK " + line);
            }
            rig.note("verdict: " + (breaks.isEmpty() ? "the rule held" : breaks.size() + " breaks of the rule"));
            System.out.println(breaks.isEmpty() ? "the rule held" : breaks.size() + " breaks of the rule");
            code = breaks.isEmpty() ? HELD : BROKEN;
        } catch (Exception e) {
            rig.note("could not run: " + e);
            System.out.println("could not run: " + e);
            e.printStackTrace(System.out);
            code = NOT_RUN;
        }
        rig.close();
        Runtime.getRuntime().halt(code);
    }

    /** Milliseconds of Unix time, from a monotonic clock. */
    static double now() {
        return START_MILLIS + (System.nanoTime() - START_NANOS) / 1e6;
    }

    /** Milliseconds since the start of the run. */
    static String at(double time) {
        return String.format("%.1f", time - START_MILLIS);
    }

    synchronized void note(String line) {
        record.println(at(now()) + " " + line);
    }

    static void sleep(double millis) {
        if (millis > 0) {
            try {
                Thread.sleep((long) millis, (int) (millis % 1 * 999_999));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    static void background(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** A started program with its log and the ports on which it listens. */
    final class Program {
        final Process process;
        final String name;
        final List<String> log = new CopyOnWriteArrayList<>();

        Program(String name, Process process) {
            this.name = name;
            this.process = process;
            background(() -> new BufferedReader(
                            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))
                    .lines()
                    .forEach(line -> {
                        log.add(line);
                        note(name + " log: " + line);
                    }));
        }

        int awaitPort() {
            for (int i = 0; i < 1_500; i++) {
                for (String line : log) {
                    if (line.contains("listening on")) {
                        return Integer.parseInt(line.replaceAll(".*:", "").trim());
                    }
                }
                if (!process.isAlive()) {
                    throw new CannotRun(name + " ended: " + log);
                }
                sleep(20);
            }
            throw new CannotRun(name + " did not listen within 30 s");
        }
    }

    /** The `run` command of the deploy file. */
    static String runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new CannotRun("deploy/balancer.toml has no run command");
    }

    /** Starts one proxy; {@code known} and {@code settings} are JSON objects. */
    Program startProxy(String name, int balancers, int discoveryPort, String known, String settings, int sockets)
            throws IOException {
        Path config = folder.resolve(name + ".json");
        Files.writeString(
                config,
                "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:" + discoveryPort
                        + "\",\"seed\":\"" + Long.toHexString(System.nanoTime() | 1)
                        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},\"known\":"
                        + known + ",\"settings\":" + settings + "}");
        Path temporary = Files.createDirectories(folder.resolve(name + ".tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand()).redirectErrorStream(true);
        builder.environment().put("ROUTER_NAME", name);
        builder.environment().put("ROUTER_LISTEN", "127.0.0.1:0");
        builder.environment().put("ROUTER_DISCOVERY", "127.0.0.1:" + discoveryPort);
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        Process process = builder.start();
        processes.add(process);
        return new Program(name, process);
    }

    /** Starts a program of the repository's jar with the `run` command's Java and the given arguments appended. */
    Program startServe(String name, Path operatorFile) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand() + " '" + operatorFile + "'")
                .redirectErrorStream(true);
        builder.environment().remove("ROUTER_CONFIG");
        Process process = builder.start();
        processes.add(process);
        return new Program(name, process);
    }

    @Override
    public synchronized void close() {
        for (Process process : processes) {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroyForcibly();
        }
        processes.clear();
        record.flush();
        try (Stream<Path> files = Files.exists(folder) ? Files.walk(folder) : Stream.empty()) {
            List<Path> all = new ArrayList<>(files.sorted(Comparator.reverseOrder()).toList());
            for (Path file : all) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            System.out.println("temporary folder not removed: " + e);
        }
    }
}
