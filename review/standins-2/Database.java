import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A stand-in database: a thread for each connection, one request at a time on each, as the protocol page says. */
class Database {
    /** A statement that arrived whole. */
    static final class Arrival {
        final String database;
        final String id;
        final String requestClass;
        final double at;
        volatile double answeredAt;
        /** The position of the data that it was answered from, or 0. */
        volatile double position;
        /** What was answered: a value, an error, or nothing so far. */
        volatile String answer = "nothing";

        Arrival(String database, String id, String requestClass, double at) {
            this.database = database;
            this.id = id;
            this.requestClass = requestClass;
            this.at = at;
        }
    }

    final Rig rig;
    final String id;
    final String zone;
    final int group;
    final ServerSocket listener;
    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    volatile boolean primary;
    /** Takes requests and answers none, open connections stay open. */
    volatile boolean hung;
    volatile double workMillis = 10;
    volatile int valueBytes = 16;
    volatile double startedMillis;
    volatile String state = "up";
    /** Connections that are idle for this long are closed; 0 for never. */
    volatile int idleMillis;

    Database(Rig rig, String id, String zone, int group, boolean primary) throws IOException {
        this.rig = rig;
        this.id = id;
        this.zone = zone;
        this.group = group;
        this.primary = primary;
        listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Rig.background(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** The entry of this database in discovery's list. */
    String entry() {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port() + "\",\"zone\":\"" + zone
                + "\",\"kind\":\"fast-4\",\"cell\":" + group + ",\"state\":\"" + state
                + "\",\"weight\":1.0,\"started_ms\":" + String.format("%.0f", startedMillis) + ",\"mode\":\""
                + (primary ? "read-write" : "read-only") + "\"}";
    }

    /** The log position, in milliseconds of Unix time. */
    double position() {
        return primary ? Rig.now() : Rig.now() - 10;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Rig.background(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void awaitNotHung() {
        while (hung) {
            Rig.sleep(5);
        }
    }

    /** Called before a new connection is greeted. */
    void greet() {}

    private void serve(Socket socket) {
        try (socket) {
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            Pg.readStartup(in);
            awaitNotHung();
            greet();
            socket.getOutputStream().write(Pg.concat(Pg.message('R', "\0\0\0\0"), statuses(), Pg.ready()));
            while (true) {
                socket.setSoTimeout(idleMillis);
                int type = in.read();
                socket.setSoTimeout(0);
                if (type != 'Q') {
                    return;
                }
                byte[] body = in.readNBytes(in.readInt() - 4);
                String text = new String(body, 0, body.length - 1, StandardCharsets.ISO_8859_1);
                byte[] reply;
                if (text.isBlank()) {
                    reply = Pg.concat(Pg.message('I', ""), Pg.ready());
                } else if (text.equals("SHOW stats")) {
                    awaitNotHung();
                    reply = Pg.concat(Pg.row(report().getBytes()), statuses(), Pg.ready());
                } else if (text.equals("SELECT 1")) {
                    awaitNotHung();
                    reply = Pg.concat(Pg.row("1".getBytes()), statuses(), Pg.ready());
                } else {
                    Arrival arrival =
                            new Arrival(id, Pg.hint(text, "id"), Pg.hint(text, "c"), Rig.now());
                    arrivals.add(arrival);
                    reply = execute(arrival, text);
                    rig.note(id + " got " + arrival.id + " class " + arrival.requestClass + " at "
                            + Rig.at(arrival.at) + ", answers " + arrival.answer);
                }
                awaitNotHung();
                socket.getOutputStream().write(reply);
            }
        } catch (IOException e) {
            // The proxy has closed the connection.
        }
    }

    /** Runs a statement that arrived whole; returns the reply. */
    byte[] execute(Arrival arrival, String text) {
        awaitNotHung();
        boolean write = text.contains("INSERT");
        if (write && !primary) {
            arrival.answer = "25006";
            return Pg.concat(Pg.error("25006"), statuses(), Pg.ready());
        }
        Rig.sleep(workMillis);
        awaitNotHung();
        byte[] value = ("v".repeat(Math.max(0, valueBytes - 24)) + arrival.id).getBytes(StandardCharsets.ISO_8859_1);
        arrival.answer = "a value";
        arrival.answeredAt = Rig.now();
        return Pg.concat(Pg.row(value), statuses(), Pg.ready());
    }

    String report() {
        return "x0=" + String.format("%.6f", position() / 1000) + ",x1=" + (primary ? 1 : 0);
    }

    byte[] statuses() {
        return Pg.concat(
                Pg.status("mode", primary ? "read-write" : "read-only"),
                Pg.status("wal_time", String.format("%.0f", Math.floor(position()))),
                Pg.status("stats", report()));
    }
}
