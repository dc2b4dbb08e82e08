import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** One bad client sends three messages that can't be read; usual clients come before and afterwards. */
final class OneMessageCase {
    private static final int COMMAS = 190_000;
    private static final int MESSAGES = 3;
    private static final int USUAL_REQUESTS_BEFORE = 10;
    private static final int DEADLINE_MILLIS = 1_000;
    private static final int WAIT_MILLIS = 2_500;
    /** The proxy hangs if no usual request gets a whole answer for so long. */
    private static final int HANG_MILLIS = 40_000;

    private static Record record;
    private static Proxy proxy;
    private static long ids = 0x9b1f03aa5c000000L;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path root = Path.of(args[0]).toAbsolutePath();
        record = new Record(Path.of(args[1]));
        Database.Handler handler = (database, connection, statement) -> {
            Thread.sleep(20);
            connection.row(("value of " + database.id).getBytes()).status().ready();
        };
        Discovery discovery = new Discovery();
        for (int i = 0; i < 3; i++) {
            Database database = new Database("s-" + i, i == 0, 0, handler);
            discovery.set(database.id, database.port(), "ulemiste", 0, "up", i == 0 ? "read-write" : "read-only", 0);
        }
        proxy = new Proxy(
                root, Path.of(args[2]), "n0", discovery.address(), 1_024, discovery.list(-1), Site.settings(1, "wait"));
        if (!proxy.start()) {
            record.line("the proxy did not become ready; its log is " + proxy.log);
            System.exit(2);
        }
        for (int i = 0; i < USUAL_REQUESTS_BEFORE; i++) {
            if (!usualRequest()) {
                record.line("the case could not run");
                System.exit(2);
            }
        }
        if (trouble) {
            badClient();
        }
        long start = record.millis();
        int answered = 0;
        int sent = 0;
        while (answered == 0 && record.millis() - start < HANG_MILLIS) {
            sent++;
            answered += usualRequest() ? 1 : 0;
        }
        long silent = record.millis() - start;
        record.line("the process is " + (proxy.process.isAlive() ? "alive" : "gone") + "; " + answered + " of " + sent
                + " usual requests answered within " + silent + " ms");
        proxy.end();
        for (String line : Files.readAllLines(proxy.log, StandardCharsets.ISO_8859_1)) {
            if (line.contains("event loop up to")) {
                record.line("log: " + line);
            }
        }
        record.line(answered == 0 ? "RULE BROKEN: the process hangs" : "rule held: the process answers");
        System.exit(answered == 0 ? 1 : 0);
    }

    /** Sends one request on a new connection; true if it gets a whole answer, of whatever kind. */
    private static boolean usualRequest() throws InterruptedException {
        String id = Long.toHexString(++ids);
        String answer;
        try (Client client = new Client(proxy.address)) {
            client.send("/* id=" + id + ",c=map-view,d=" + DEADLINE_MILLIS
                    + ",cluster=0 */ SELECT val FROM state WHERE uid = '7f3a9c21e0b4d655'");
            answer = client.readAnswer(WAIT_MILLIS);
        } catch (IOException e) {
            answer = "no connection: " + e.getMessage();
        }
        record.line("usual request " + id + ": " + answer);
        Thread.sleep(100);
        return answer.startsWith("served") || answer.startsWith("refused") || answer.startsWith("failed");
    }

    private static void badClient() throws IOException {
        Client bad = new Client(proxy.address);
        byte[] message = Client.query("/*" + ",".repeat(COMMAS) + "*/ SELECT val FROM state");
        for (int i = 0; i < MESSAGES; i++) {
            bad.out.write(message);
        }
        record.line("one bad client has sent " + MESSAGES + " messages of " + message.length + " bytes");
        Thread reader = new Thread(() -> {
            try {
                for (String answer = ""; !answer.equals("closed"); ) {
                    answer = bad.readAnswer(120_000);
                    record.line("bad client: " + answer);
                }
            } catch (IOException e) {
                record.line("bad client: " + e);
            }
        });
        reader.setDaemon(true);
        reader.start();
    }
}
