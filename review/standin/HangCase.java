import java.io.ByteArrayOutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** Bad clients send hundreds of commands at once, at full speed, and leave; usual clients come before and after. */
final class HangCase {
    private static final int BAD_CLIENTS = 320;
    private static final int COMMANDS_AT_ONCE = 500;
    private static final int FLOOD_MILLIS = 10_000;
    private static final int QUIET_MILLIS = 20_000;
    private static final int USUAL_REQUESTS = 12;
    /** The process hangs if so many usual requests in a row, one at a time, get no whole answer. */
    private static final int UNANSWERED_OF_A_HANG = 6;
    private static final int DEADLINE_MILLIS = 1_000;

    private static Record record;
    private static Proxy proxy;
    private static int unansweredAtFirst;
    private static long usualIds = 0x9b1f03aa5c000000L;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path root = Path.of(args[0]).toAbsolutePath();
        record = new Record(Path.of(args[1]));
        Path folder = Path.of(args[2]);
        Database.Handler handler = (database, connection, statement) -> {
            Thread.sleep(20);
            connection.row(("value of " + database.id).getBytes()).status().ready();
        };
        Discovery discovery = new Discovery();
        for (int i = 0; i < 3; i++) {
            Database database = new Database("s-" + i, i == 0, 0, handler);
            discovery.set(database.id, database.port(), "ulemiste", 0, "up", i == 0 ? "read-write" : "read-only", 0);
        }
        proxy = new Proxy(root, folder, "n0", discovery.address(), 1_024, discovery.list(-1), Site.settings(1, "wait"));
        if (!proxy.start()) {
            record.line("the proxy did not become ready; its log is " + proxy.log);
            System.exit(2);
        }
        int before = usualClients("before the bad clients");
        if (trouble) {
            badClients();
        }
        record.line("no client is connected; waiting for " + QUIET_MILLIS + " ms");
        Thread.sleep(QUIET_MILLIS);
        int after = usualClients("after the bad clients");
        record.line("the process is " + (proxy.process.isAlive() ? "alive" : "gone") + "; usual requests answered: "
                + before + " of " + USUAL_REQUESTS + " before, " + after + " of " + USUAL_REQUESTS + " after");
        for (String line : java.nio.file.Files.readAllLines(proxy.log, java.nio.charset.StandardCharsets.ISO_8859_1)) {
            if (line.contains("OutOfMemoryError") || line.contains("event loop up to")) {
                record.line("log: " + line);
            }
        }
        proxy.end();
        if (before < USUAL_REQUESTS) {
            record.line("the case could not run");
            System.exit(2);
        }
        boolean hangs = unansweredAtFirst >= UNANSWERED_OF_A_HANG;
        record.line(hangs ? "RULE BROKEN: the process hangs" : "rule held: the process answers");
        System.exit(hangs ? 1 : 0);
    }

    /** Sends requests one after the other, each on a new connection; returns how many got a whole answer. */
    private static int usualClients(String when) throws Exception {
        int answered = 0;
        for (int i = 0; i < USUAL_REQUESTS; i++) {
            String id = Long.toHexString(++usualIds);
            String answer;
            try (Client client = new Client(proxy.address)) {
                client.send("/* id=" + id + ",c=map-view,d=" + DEADLINE_MILLIS
                        + ",cluster=0 */ SELECT val FROM state WHERE uid = '7f3a9c21e0b4d655'");
                answer = client.readAnswer(DEADLINE_MILLIS + 1_500);
            } catch (java.io.IOException e) {
                answer = "no connection: " + e.getMessage();
            }
            if (answer.startsWith("served") || answer.startsWith("refused") || answer.startsWith("failed")) {
                answered++;
            } else if (answered == 0) {
                unansweredAtFirst++;
            }
            record.line("usual request " + id + " " + when + ": " + answer);
            Thread.sleep(200);
        }
        return answered;
    }

    private static void badClients() throws Exception {
        AtomicLong sent = new AtomicLong();
        AtomicLong answers = new AtomicLong();
        long end = System.nanoTime() + FLOOD_MILLIS * 1_000_000L;
        List<Client> clients = new ArrayList<>();
        List<Thread> writers = new ArrayList<>();
        for (int i = 0; i < BAD_CLIENTS; i++) {
            Client client = new Client(proxy.address);
            clients.add(client);
            int number = i;
            daemon(() -> readAll(client, answers)).start();
            writers.add(daemon(() -> writeAll(client, number, end, sent)));
        }
        record.line(BAD_CLIENTS + " bad clients are connected and send " + COMMANDS_AT_ONCE + " commands at once");
        for (Thread writer : writers) {
            writer.start();
        }
        while (System.nanoTime() < end) {
            Thread.sleep(500);
            record.line("bad clients: " + sent + " commands sent, " + answers + " answers read");
        }
        for (Client client : clients) {
            client.close();
        }
        record.line("the bad clients have closed their connections");
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "bad client", 128 * 1024);
        thread.setDaemon(true);
        return thread;
    }

    /** Reads what the proxy sends, as fast as it comes. */
    private static void readAll(Client client, AtomicLong answers) {
        try {
            for (String answer = ""; !answer.equals("closed"); answer = client.readAnswer(60_000)) {
                answers.incrementAndGet();
            }
        } catch (java.io.IOException e) {
            // Closed.
        }
    }

    private static void writeAll(Client client, int number, long end, AtomicLong sent) {
        try {
            for (int command = 0; System.nanoTime() < end; ) {
                ByteArrayOutputStream batch = new ByteArrayOutputStream();
                for (int i = 0; i < COMMANDS_AT_ONCE; i++, command++) {
                    String id = String.format("%06x%010x", number, command);
                    batch.writeBytes(Client.query("/* id=" + id + ",c=reserve,d=3000,k=" + id
                            + ",cluster=0 */ INSERT INTO state (uid, val) VALUES ('" + id
                            + "', '\\x9f03') RETURNING val"));
                }
                client.out.write(batch.toByteArray());
                sent.addAndGet(COMMANDS_AT_ONCE);
            }
        } catch (java.io.IOException e) {
            // The proxy has closed the connection.
        }
    }
}
