import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Hundreds of bad clients stop in the middle of their first command and stay; ordinary clients come on new connections. */
final class NewConnections {
    private static final int SOCKETS = 256;
    private static final int BAD_CLIENTS = 500;
    private static final int NEW_CLIENTS = 20;
    private static final int DEADLINE_MILLIS = 1_000;
    private static final double LATE_MILLIS = 500 + 50;
    private static volatile boolean ended;

    private NewConnections() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args[0], NewConnections::run);
    }

    /** Sends the first bytes of a command, stays until the proxy ends the connection, and comes again. */
    private static void stopHalfWay(int port) {
        while (!ended) {
            try (Socket socket = Pg.connect(port)) {
                socket.getOutputStream().write(Pg.startup("client"));
                socket.getOutputStream().write(new byte[] {'Q', 0, 0});
                InputStream in = socket.getInputStream();
                while (in.read() >= 0) {
                    continue;
                }
            } catch (IOException e) {
                // The proxy has ended the connection.
            }
        }
    }

    /** Sends one request on a new connection; returns what came of it. */
    private static String ask(Rig rig, int port, Client.Request request) {
        String answer = "no answer";
        double connectedAt = Rig.now();
        try (Socket socket = Pg.connect(port)) {
            connectedAt = Rig.now();
            socket.setSoTimeout(4 * DEADLINE_MILLIS);
            socket.getOutputStream().write(Pg.concat(Pg.startup("client"), Pg.query(request.statement)));
            request.sentAt = Rig.now();
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (answer.equals("no answer")) {
                int type = in.read();
                if (type < 0) {
                    answer = "closed";
                    break;
                }
                in.skipNBytes(in.readInt() - 4L);
                answer = type == 'D' ? "served" : type == 'E' ? "an error" : answer;
            }
        } catch (SocketTimeoutException e) {
            answer = "no answer";
        } catch (IOException e) {
            answer = request.sentAt == 0 ? "not connected" : "closed";
        }
        request.answeredAt = Rig.now();
        request.answer = answer;
        rig.note(String.format(
                "%s connected at %s, sent at %s: %s at %s", request.id, Rig.at(connectedAt), Rig.at(request.sentAt), answer,
                Rig.at(request.answeredAt)));
        return answer;
    }

    private static List<String> run(Rig rig) throws Exception {
        List<Database> databases = new ArrayList<>();
        String[] zones = {"ulemiste", "lasnamae", "tartu-mnt"};
        for (int i = 0; i < 6; i++) {
            databases.add(new Database(rig, "s-" + i, zones[i % 3], 0, i == 0));
        }
        ListServer discovery = new ListServer(rig, databases);
        String settings = new Settings().addClasses("safe").toString();
        Rig.Program proxy = rig.startProxy("n1", 1, discovery.port(), discovery.whole(), settings, SOCKETS);
        int port = proxy.awaitPort();
        Client before = new Client(rig, port);
        for (int i = 0; i < 20; i++) {
            before.send(Client.Request.read("map-view", DEADLINE_MILLIS, 0, "u", ""));
            Rig.sleep(50);
        }
        for (int i = 0; Rig.TROUBLE && i < BAD_CLIENTS; i++) {
            Rig.background(() -> stopHalfWay(port));
        }
        Rig.sleep(2_000);
        List<Client.Request> requests = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < NEW_CLIENTS; i++) {
            Client.Request request = Client.Request.read("map-view", DEADLINE_MILLIS, 0, "u", "");
            requests.add(request);
            Rig.background(() -> ask(rig, port, request));
            Rig.sleep(400);
        }
        Rig.sleep(5 * DEADLINE_MILLIS);
        ended = true;
        before.writeRecord("before");
        List<String> breaks = new ArrayList<>();
        for (Client.Request request : requests) {
            double took = request.answeredAt - request.sentAt;
            boolean answered = "served".equals(request.answer) || "an error".equals(request.answer);
            // A new connection may be shut unread while others fill the descriptors.
            boolean lost = answered ? took > DEADLINE_MILLIS + LATE_MILLIS : "no answer".equals(request.answer);
            if (lost) {
                breaks.add(String.format(
                        "%s with d=%d, sent whole on a new connection at %s: %s after %.0f ms", request.id,
                        DEADLINE_MILLIS, Rig.at(request.sentAt), request.answer, took));
            }
        }
        return breaks;
    }
}
