import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** Bad clients send the same unreadable class again as soon as they are turned away; ordinary clients send at the same time. */
final class StarvedTurns {
    private static final int BAD_CLIENTS = 120;
    /** Further names and values in the bad clients' comment; their statement has some 1,700 bytes. */
    private static final int MORE_HINTS = 400;
    private static final int ROUNDS = 5;
    private static final int VALUE_BYTES = 20 * 1_024;
    private static final int READS_AT_ONCE = 60;
    private static final double LATE_MILLIS = 500 + 50;

    private static final AtomicLong TURNED_AWAY = new AtomicLong();
    private static volatile boolean ended;

    private StarvedTurns() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args[0], StarvedTurns::run);
    }

    /** Sends a statement of a class that does not exist, reads the error, and sends the same again. */
    private static void sendAgainAndAgain(int port) {
        byte[] query = Pg.query("/* id=1,c=nope,d=1000,cluster=0" + ",a=1".repeat(MORE_HINTS) + " */ SELECT 1");
        try (Socket socket = Pg.connect(port)) {
            socket.getOutputStream().write(Pg.startup("client"));
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            while (!ended) {
                socket.getOutputStream().write(query);
                while (in.readByte() != 'Z') {
                    in.skipNBytes(in.readInt() - 4L);
                }
                in.skipNBytes(5);
                TURNED_AWAY.incrementAndGet();
            }
        } catch (IOException e) {
            // The proxy has ended the connection.
        }
    }

    private static Client.Request largeWrite() {
        Client.Request request = Client.Request.write("reserve", 3_000, 0, "w", "k" + System.nanoTime());
        request.statement = request.statement.replace("9f03", "9f".repeat(VALUE_BYTES));
        return request;
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
        new Load(rig, port).run(2_000, 50, random -> Client.Request.read("map-view", 1_000, 0, "u", ""));
        for (int i = 0; Rig.TROUBLE && i < BAD_CLIENTS; i++) {
            Rig.background(() -> sendAgainAndAgain(port));
        }
        Rig.sleep(2_000);
        List<Client> clients = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            Client writer = new Client(rig, port);
            writer.send(largeWrite());
            Client reader = new Client(rig, port);
            List<Client.Request> batch = new ArrayList<>();
            for (int i = 0; i < READS_AT_ONCE; i++) {
                batch.add(Client.Request.read("map-view", 1_000, 0, "u" + i, ""));
            }
            reader.send(batch);
            clients.add(writer);
            clients.add(reader);
            Rig.sleep(1_000);
        }
        Rig.sleep(4_000);
        ended = true;
        rig.note("the bad clients were turned away " + TURNED_AWAY + " times");
        Rig.sleep(2_000);
        List<String> breaks = new ArrayList<>();
        for (int i = 0; i < clients.size(); i++) {
            String name = (i % 2 == 0 ? "writer " : "reader ") + i / 2;
            clients.get(i).writeRecord(name);
            check(clients.get(i), name, breaks);
        }
        return breaks;
    }

    /** The time of a command counts from the answer to the one before it. */
    private static void check(Client client, String name, List<String> breaks) {
        double previousAnswer = 0;
        for (Client.Request request : client.requests) {
            double from = Math.max(request.sentAt, previousAnswer);
            boolean answered = request.answer != null && !request.answer.equals("CLOSED");
            if (!answered || request.answeredAt > from + request.deadlineMillis + LATE_MILLIS) {
                breaks.add(String.format(
                        "%s: %s of class %s with d=%.0f %s", name, request.id, request.requestClass,
                        request.deadlineMillis,
                        answered
                                ? String.format(
                                        "was answered (%s) %.0f ms after the later of its sending and the answer before it",
                                        request.answer, request.answeredAt - from)
                                : "got no answer: " + request.answer));
            }
            previousAnswer = Math.max(previousAnswer, request.answeredAt);
        }
    }
}
