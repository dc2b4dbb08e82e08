import java.util.ArrayList;
import java.util.List;

/** The primary goes silent while many clients have sent many commands at once. */
final class PipelinedBehindHang {
    private static final int WRITERS = 160;
    private static final int WRITES_AT_ONCE = 6;
    private static final int READERS = 2;
    private static final int READS_AT_ONCE = 8;
    /** After its time an answer only earns nothing for half a second; the limits on sockets are 50 ms longer. */
    private static final double LATE_MILLIS = 500 + 50;
    private static final double SILENT_MILLIS = 13_000;
    /** Some ten requests a second come one by one meanwhile. */
    private static final double ORDINARY_EVERY_MILLIS = 100;

    private PipelinedBehindHang() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args[0], PipelinedBehindHang::run);
    }

    private static List<String> run(Rig rig) throws Exception {
        List<Database> databases = new ArrayList<>();
        String[] zones = {"ulemiste", "lasnamae", "tartu-mnt"};
        for (int i = 0; i < 6; i++) {
            databases.add(new Database(rig, "s-" + i, zones[i % 3], 0, i == 0));
        }
        ListServer discovery = new ListServer(rig, databases);
        String settings = new Settings().addClasses("safe").toString();
        Rig.Program proxy = rig.startProxy("n1", 1, discovery.port(), discovery.whole(), settings, 1_024);
        int port = proxy.awaitPort();

        Client ordinary = new Client(rig, port);
        for (int i = 0; i < 60; i++) {
            ordinary.send(Client.Request.read("map-view", 1_000, 0, "u" + i, ""));
            if (i % 10 == 0) {
                ordinary.send(Client.Request.write("reserve", 3_000, 0, "u" + i, "warm" + i));
            }
            Rig.sleep(50);
        }
        List<Client> writers = new ArrayList<>();
        List<Client> readers = new ArrayList<>();
        for (int i = 0; i < WRITERS; i++) {
            writers.add(new Client(rig, port));
        }
        for (int i = 0; i < READERS; i++) {
            readers.add(new Client(rig, port));
        }
        databases.get(0).hung = Rig.TROUBLE;
        rig.note("the primary " + (Rig.TROUBLE ? "goes silent" : "works on"));
        for (Client writer : writers) {
            List<Client.Request> batch = new ArrayList<>();
            for (int i = 0; i < WRITES_AT_ONCE; i++) {
                batch.add(Client.Request.write("reserve", 3_000, 0, "w", "key" + System.nanoTime() + i));
            }
            writer.send(batch);
        }
        Rig.sleep(300);
        for (Client reader : readers) {
            List<Client.Request> batch = new ArrayList<>();
            for (int i = 0; i < READS_AT_ONCE; i++) {
                batch.add(Client.Request.read("map-view", 1_000, 0, "r" + i, ""));
            }
            reader.send(batch);
        }
        for (int i = 0; i < SILENT_MILLIS / ORDINARY_EVERY_MILLIS; i++) {
            ordinary.send(Client.Request.read("map-view", 1_000, 0, "u" + i, ""));
            Rig.sleep(ORDINARY_EVERY_MILLIS);
        }
        databases.get(0).hung = false;
        Rig.sleep(1_000);

        List<String> breaks = new ArrayList<>();
        ordinary.writeRecord("ordinary");
        check(ordinary, "ordinary", breaks);
        for (int i = 0; i < READERS; i++) {
            readers.get(i).writeRecord("reader " + i);
            check(readers.get(i), "reader " + i, breaks);
        }
        for (int i = 0; i < WRITERS; i++) {
            writers.get(i).writeRecord("writer " + i);
            check(writers.get(i), "writer " + i, breaks);
        }
        return breaks;
    }

    /** The time of a command counts from the answer to the one before it. */
    static void check(Client client, String name, List<String> breaks) {
        double previousAnswer = 0;
        for (Client.Request request : client.requests) {
            double from = Math.max(request.sentAt, previousAnswer);
            double end = from + request.deadlineMillis + LATE_MILLIS;
            if (request.answer == null || request.answer.equals("CLOSED")) {
                breaks.add(name + ": " + request.id + " of class " + request.requestClass + " got no answer: "
                        + request.answer);
                return;
            }
            if (request.answeredAt > end) {
                breaks.add(String.format(
                        "%s: %s of class %s with d=%.0f was answered (%s) %.0f ms after the later of its sending and the"
                                + " answer before it",
                        name, request.id, request.requestClass, request.deadlineMillis, request.answer,
                        request.answeredAt - from));
            }
            previousAnswer = request.answeredAt;
        }
    }
}
