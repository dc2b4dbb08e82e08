import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A stand-in database that speaks TDS: a thread for each connection, one request at a time on each. */
final class TdsDatabase {
    private static final int DONE_COUNT = 0x10;
    private static final int DONE_ERROR = 0x02;
    private static final int READ_ONLY = 3906;

    final String id;
    final String zone;
    final List<Database.Arrival> arrivals = new CopyOnWriteArrayList<>();
    final ServerSocket listener;
    volatile boolean primary;
    volatile double workMillis = 20;
    private final Rig rig;

    TdsDatabase(Rig rig, String id, String zone, String address, int port, boolean primary) throws IOException {
        this.rig = rig;
        this.id = id;
        this.zone = zone;
        this.primary = primary;
        listener = new ServerSocket(port, 512, InetAddress.getByName(address));
        Rig.background(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    Rig.background(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    /** The DNS-SD records of this database, in a zone file whose origin is the service's name. */
    String records() {
        String host = "host-" + id + ".stations.example.";
        return "@ IN PTR " + id + "\n" + id + " IN SRV 0 0 " + port() + " " + host + "\n" + id + " IN TXT \"zone=" + zone
                + "\" \"cell=0\"" + (primary ? " \"mode=read-write\"" : "") + "\n" + host + " IN A "
                + listener.getInetAddress().getHostAddress() + "\n";
    }

    private byte[] statuses() {
        double position = Rig.now() - (primary ? 0 : 10);
        return Pg.concat(
                Tds.info("mode", primary ? "read-write" : "read-only"),
                Tds.info("wal_time", String.format("%.0f", Math.floor(position))),
                Tds.info("stats", String.format("x0=%.6f,x1=%d", position / 1_000, primary ? 1 : 0)));
    }

    private void serve(Socket socket) {
        try (socket) {
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            for (Tds.Message message = Tds.read(in); message != null; message = Tds.read(in)) {
                byte[] reply;
                if (message.type() == Tds.PRELOGIN) {
                    reply = Tds.prelogin(Tds.RESULT);
                } else if (message.type() == Tds.LOGIN7) {
                    reply = Tds.loginAccepted();
                } else {
                    reply = Tds.packets(Tds.RESULT, answer(Tds.text(message)));
                }
                socket.getOutputStream().write(reply);
            }
        } catch (IOException e) {
            // The proxy has closed the connection.
        }
    }

    private byte[] answer(String text) {
        if (text.isBlank()) {
            return Tds.done(0, 0);
        }
        if (text.startsWith("EXEC")) {
            return Pg.concat(statuses(), Tds.done(0, 0));
        }
        Database.Arrival arrival =
                new Database.Arrival(id, Pg.hint(text, "id"), Pg.hint(text, "c"), Rig.now());
        arrivals.add(arrival);
        byte[] reply;
        if (text.contains("INSERT") && !primary) {
            arrival.answer = "read only";
            reply = Pg.concat(statuses(), Tds.message(Tds.ERROR, READ_ONLY, 16, "read only"), Tds.done(DONE_ERROR, 0));
        } else {
            Rig.sleep(workMillis * -Math.log(1 - Math.random()));
            arrival.answer = "a value";
            reply = Pg.concat(statuses(), Tds.row(arrival.id.getBytes()), Tds.done(DONE_COUNT, 1));
        }
        rig.note(id + " at " + listener.getLocalSocketAddress() + " got " + arrival.id + " class " + arrival.requestClass
                + " at " + Rig.at(arrival.at) + ", answers " + arrival.answer);
        return reply;
    }
}
