import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Bad clients stop in the middle of a command and stay, while an ordinary client sends many commands at once. */
final class HalfCommands {
    private static final int BAD_CLIENTS = 60;
    private static final int BAD_COMMAND_BYTES = 180_000;
    private static final int BAD_SENT_BYTES = 170_000;
    private static final int READS_BEFORE = 5;
    private static final int READS_BEHIND = 20;
    private static final int VALUE_BYTES = 60 * 1_024;
    private static final int CLIENTS_IN_ROUND = 3;
    private static final int ROUNDS = 4;

    private HalfCommands() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args[0], HalfCommands::run);
    }

    /** Sends the first part of a command and stays until the proxy ends the connection. */
    private static void sendHalf(Rig rig, int port) {
        double start = Rig.now();
        try (Socket socket = Pg.connect(port)) {
            socket.getOutputStream().write(Pg.startup("client"));
            socket.getOutputStream().write(Arrays.copyOf(Pg.query("x".repeat(BAD_COMMAND_BYTES)), BAD_SENT_BYTES));
            socket.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
        } catch (IOException e) {
            // The proxy has ended the connection.
        }
        rig.note(String.format("a bad client was closed on after %.0f ms", Rig.now() - start));
    }

    private static Client.Request largeWrite(String key) {
        Client.Request request = Client.Request.write("reserve", 3_000, 0, "w", key);
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
        List<Client> clients = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            List<Client> ordinary = new ArrayList<>();
            for (int c = 0; c < CLIENTS_IN_ROUND; c++) {
                Client client = new Client(rig, port);
                ordinary.add(client);
                for (int i = 0; i < 10; i++) {
                    client.send(Client.Request.read("map-view", 1_000, 0, "u" + i, ""));
                    Rig.sleep(30);
                }
            }
            clients.addAll(ordinary);
            if (Rig.TROUBLE) {
                for (int i = 0; i < BAD_CLIENTS; i++) {
                    Rig.background(() -> sendHalf(rig, port));
                }
            }
            Rig.sleep(800);
            for (Client client : ordinary) {
                List<Client.Request> batch = new ArrayList<>();
                for (int i = 0; i < READS_BEFORE + 1 + READS_BEHIND; i++) {
                    batch.add(
                            i == READS_BEFORE
                                    ? largeWrite("k" + System.nanoTime())
                                    : Client.Request.read("map-view", 1_000, 0, "u" + i, ""));
                }
                client.send(batch);
            }
            Rig.sleep(6_000);
        }
        List<String> breaks = new ArrayList<>();
        for (int i = 0; i < clients.size(); i++) {
            clients.get(i).writeRecord("ordinary client " + i);
            for (Client.Request request : clients.get(i).requests) {
                if (request.answer == null || request.answer.equals("CLOSED")) {
                    breaks.add("ordinary client " + i + ": " + request.id + ", sent whole at " + Rig.at(request.sentAt)
                            + ", got no answer: "
                            + (request.answer == null ? "none" : "the proxy closed the connection at "
                                    + Rig.at(request.answeredAt)));
                }
            }
        }
        return breaks;
    }
}
