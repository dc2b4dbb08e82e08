import java.io.DataInputStream;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A database that takes seconds to write and to read, in pieces; a reservation must not be applied twice. The group
 * drops a repeat of a key for 2 s, counted from the first attempt's last byte, which favours the proxy.
 */
final class LateCopyCase {
    private static final int RESERVATIONS = 10;
    private static final int VALUE_BYTES = 60 * 1_024;
    private static final int KEY_TTL_MILLIS = 2_000;
    private static final int TIME_LIMIT_SLACK_MILLIS = 50;
    private static final int PAUSE_BETWEEN_PIECES_MILLIS = 400;
    private static final int READ_MILLIS = 2_100;
    private static final int READ_PIECES = 42;
    private static final int LONG_STATEMENT_BYTES = 10_000;
    private static final int RECEIVE_BUFFER_BYTES = 8 * 1_024;

    private static Record record;
    private static boolean trouble;
    private static final Map<String, Long> firstRunAt = new HashMap<>();
    private static final Map<String, Integer> runs = new HashMap<>();
    private static final AtomicInteger late = new AtomicInteger();
    private static volatile boolean firstAttempt;

    public static void main(String[] args) throws Exception {
        trouble = !"0".equals(System.getenv("TROUBLE"));
        Path root = Path.of(args[0]).toAbsolutePath();
        record = new Record(Path.of(args[1]));
        Discovery discovery = new Discovery();
        for (int i = 0; i < 3; i++) {
            Database database =
                    new Database("s-" + i, i == 0, RECEIVE_BUFFER_BYTES, LateCopyCase::onStatement);
            database.reader = LateCopyCase::read;
            discovery.set(database.id, database.port(), "ulemiste", 0, "up", i == 0 ? "read-write" : "read-only", 0);
        }
        Proxy proxy = new Proxy(
                root, Path.of(args[2]), "n0", discovery.address(), 1_024, discovery.list(-1), Site.settings(1, "wait"));
        if (!proxy.start()) {
            record.line("the proxy did not become ready; its log is " + proxy.log);
            System.exit(2);
        }
        int served = 0;
        for (int i = 0; i < RESERVATIONS; i++) {
            String key = String.format("5c0f6e1a2b3d%04x", i);
            firstAttempt = true;
            try (Client client = new Client(proxy.address)) {
                client.send("/* id=9b1f03aa5c7e" + String.format("%04x", i) + ",c=reserve,d=3000,k=" + key
                        + ",cluster=0 */ INSERT INTO state (uid, val) VALUES ('7f3a9c21e0b4d655', '\\x"
                        + "9f".repeat(VALUE_BYTES) + "') RETURNING val");
                record.line("reservation " + key + " sent");
                String answer = client.readAnswer(3_500);
                record.line("reservation " + key + ": " + answer);
                served += answer.startsWith("served") ? 1 : 0;
            }
            Thread.sleep(500);
        }
        proxy.end();
        long twice = runs.values().stream().filter(count -> count > 1).count();
        record.line("reservations: " + RESERVATIONS + ", served: " + served + ", run: " + runs.size()
                + ", run twice: " + twice + ", further attempts that arrived later than the key window: " + late);
        if (runs.size() < RESERVATIONS) {
            record.line("the case could not run");
            System.exit(2);
        }
        record.line(twice > 0 ? "RULE BROKEN" : "rule held");
        System.exit(twice > 0 ? 1 : 0);
    }

    /** Reads the first attempt at once, and any further one in pieces over two seconds. */
    private static void read(DataInputStream in, byte[] body) throws Exception {
        if (!trouble || body.length < LONG_STATEMENT_BYTES || firstAttempt) {
            in.readFully(body);
            return;
        }
        record.line("the database begins to read a further attempt");
        int at = 0;
        for (int piece = 1; piece <= READ_PIECES; piece++) {
            int end = (int) ((long) body.length * piece / READ_PIECES);
            in.readFully(body, at, end - at);
            at = end;
            Thread.sleep(READ_MILLIS / READ_PIECES);
        }
    }

    private static void onStatement(Database database, Database.Connection connection, String statement)
            throws Exception {
        int at = statement.indexOf(",k=") + 3;
        if (!database.primary) {
            connection.error("25006", "this is no primary").status().ready();
            return;
        }
        String key = statement.substring(at, statement.indexOf(',', at));
        boolean first;
        synchronized (firstRunAt) {
            Long ranAt = firstRunAt.get(key);
            long now = record.millis();
            first = ranAt == null;
            boolean dropped = !first && now - ranAt < KEY_TTL_MILLIS + TIME_LIMIT_SLACK_MILLIS;
            if (first) {
                firstRunAt.put(key, now);
            } else if (!dropped) {
                late.incrementAndGet();
            }
            if (!dropped) {
                runs.merge(key, 1, Integer::sum);
            }
            record.line(database.id + " has the last byte of reservation " + key + ", "
                    + (first ? "first attempt: run" : now - ranAt + " ms after the first: "
                            + (dropped ? "a repeat, dropped" : "RUN AGAIN")));
        }
        firstAttempt = false;
        connection.row("reserved".getBytes()).status().message('Z', new byte[] {'I'});
        byte[] answer = connection.pending.toByteArray();
        connection.pending.reset();
        if (trouble && first) {
            connection.out.write(answer, 0, answer.length / 2);
            Thread.sleep(PAUSE_BETWEEN_PIECES_MILLIS);
            connection.out.write(answer, answer.length / 2, answer.length - answer.length / 2);
        } else {
            connection.out.write(answer);
        }
    }
}
