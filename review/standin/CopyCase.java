import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Databases that send a second copy right behind some answers; each served value must belong to its request. */
final class CopyCase {
    private static final int CLIENTS = 4;
    private static final int SECONDS = 15;
    private static final double SHARE_OF_ANSWERS_WITH_A_COPY = 0.02;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path root = Path.of(args[0]).toAbsolutePath();
        Record record = new Record(Path.of(args[1]));
        Path folder = Path.of(args[2]);
        AtomicInteger copies = new AtomicInteger();
        Database.Handler handler = (database, connection, statement) -> {
            String id = statement.substring(statement.indexOf("id=") + 3, statement.indexOf(','));
            Thread.sleep(2);
            connection.row(("value for " + id).getBytes()).status();
            byte[] copy = connection.pending.toByteArray();
            connection.ready();
            long answered = System.nanoTime();
            boolean more = trouble && ThreadLocalRandom.current().nextDouble() < SHARE_OF_ANSWERS_WITH_A_COPY;
            if (more && connection.socket.getInputStream().available() == 0) {
                connection.pending.writeBytes(copy);
                connection.ready();
                long gap = (System.nanoTime() - answered) / 1_000;
                copies.incrementAndGet();
                record.line(database.id + " ran " + id + ", answered, and wrote a second copy " + gap
                        + " us later, while nothing else waited on the connection");
            }
        };
        Discovery discovery = new Discovery();
        for (int i = 0; i < 3; i++) {
            Database database = new Database("s-" + i, i == 0, 0, handler);
            database.noDelay = false;
            discovery.set(database.id, database.port(), "ulemiste", 0, "up", i == 0 ? "read-write" : "read-only", 0);
        }
        Proxy proxy =
                new Proxy(root, folder, "n0", discovery.address(), 1_024, discovery.list(-1), Site.settings(1, "wait"));
        if (!proxy.start()) {
            record.line("the proxy did not become ready; its log is " + proxy.log);
            System.exit(2);
        }
        AtomicLong ids = new AtomicLong(0x9b1f03aa5c000000L);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        long end = System.nanoTime() + SECONDS * 1_000_000_000L;
        for (int i = 0; i < CLIENTS; i++) {
            Thread thread = new Thread(() -> {
                try {
                    Client client = new Client(proxy.address);
                    while (System.nanoTime() < end) {
                        String id = Long.toHexString(ids.incrementAndGet());
                        client.send("/* id=" + id + ",c=map-view,d=1000,cluster=0 */ SELECT val FROM state WHERE uid = '"
                                + id + "'");
                        String answer = client.readAnswer(2_000);
                        if (!answer.startsWith("served ")) {
                            other.incrementAndGet();
                            record.line("request " + id + ": " + answer);
                            if (answer.equals("closed") || answer.equals("nothing")) {
                                client.close();
                                client = new Client(proxy.address);
                            }
                        } else if (answer.equals("served value for " + id)) {
                            served.incrementAndGet();
                        } else {
                            foreign.incrementAndGet();
                            record.line("request " + id + ": " + answer + " -- FOREIGN");
                        }
                        Thread.sleep(ThreadLocalRandom.current().nextInt(20));
                    }
                    client.close();
                } catch (Exception e) {
                    record.line("client: " + e);
                }
            });
            thread.start();
            clients.add(thread);
        }
        for (Thread thread : clients) {
            thread.join();
        }
        proxy.end();
        record.line("served with their own value: " + served + ", with a foreign value: " + foreign
                + ", refused or failed: " + other + ", second copies sent: " + copies);
        if (served.get() == 0 || trouble && copies.get() == 0) {
            record.line("the case could not run");
            System.exit(2);
        }
        record.line(foreign.get() > 0 ? "RULE BROKEN" : "rule held");
        System.exit(foreign.get() > 0 ? 1 : 0);
    }
}
