import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Discovery: the whole list, and watches on its changes. */
final class ListServer {
    private final Rig rig;
    private final ServerSocket listener;
    private final List<Database> databases;
    /** Changed entries by version. */
    private final TreeMap<Integer, String> changes = new TreeMap<>();
    private final List<String> names = new java.util.ArrayList<>();
    private int version = 41;

    ListServer(Rig rig, List<Database> databases) throws IOException {
        this.rig = rig;
        this.databases = databases;
        listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Rig.background(() -> {
            while (true) {
                try {
                    Socket socket = listener.accept();
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

    synchronized String whole() {
        return "{\"version\":" + version + ",\"full\":true,\"servers\":["
                + databases.stream()
                        .filter(d -> !d.state.equals("removed"))
                        .map(Database::entry)
                        .collect(Collectors.joining(","))
                + "]}";
    }

    /** Publishes the present entry of a database as a change. */
    synchronized void publish(Database database) {
        version++;
        changes.put(version, database.entry());
        rig.note("discovery version " + version + ": " + database.entry());
        notifyAll();
    }

    private synchronized String changesSince(int from, long holdMillis) throws InterruptedException {
        double end = Rig.now() + holdMillis;
        while (version <= from && Rig.now() < end) {
            wait(Math.max(1, (long) (end - Rig.now())));
        }
        return "{\"version\":" + version + ",\"full\":false,\"servers\":["
                + String.join(",", changes.tailMap(from, false).values()) + "]}";
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            while (true) {
                String line = in.readLine();
                if (line == null) {
                    return;
                }
                String target = line.split(" ")[1];
                while (!in.readLine().isEmpty()) {
                    continue;
                }
                String body = target.contains("from=")
                        ? changesSince(
                                Integer.parseInt(target.replaceAll(".*from=(\\d+).*", "$1")),
                                Long.parseLong(target.replaceAll(".*hold_ms=(\\d+).*", "$1")))
                        : whole();
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                socket.getOutputStream()
                        .write(Pg.concat(
                                ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                                                + "\r\n\r\n")
                                        .getBytes(StandardCharsets.US_ASCII),
                                bytes));
            }
        } catch (IOException | InterruptedException | RuntimeException e) {
            // The proxy has closed the connection.
        }
    }
}
