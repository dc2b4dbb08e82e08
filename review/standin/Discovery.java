import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery as PROTOCOL describes it: the whole list, and watches that wait for changes. */
final class Discovery {
    private final ServerSocket server = new ServerSocket();
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<String, Long> versions = new LinkedHashMap<>();
    private long version = 40;

    Discovery() throws IOException {
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        Thread acceptor = new Thread(this::accept);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    synchronized void set(String id, int port, String zone, int cell, String state, String mode, long startedMillis) {
        version++;
        entries.put(id, "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                + "\",\"kind\":\"fast-4\",\"cell\":" + cell + ",\"state\":\"" + state + "\",\"weight\":1.0,"
                + "\"started_ms\":" + startedMillis + ",\"mode\":\"" + mode + "\"}");
        versions.put(id, version);
        notifyAll();
    }

    /** The whole list, or the entries that are newer than {@code from} if it is not negative. */
    synchronized String list(long from) {
        List<String> chosen = new ArrayList<>();
        entries.forEach((id, entry) -> {
            boolean removed = entry.contains("\"removed\"");
            if (from < 0 ? !removed : versions.get(id) > from) {
                chosen.add(entry);
            }
        });
        return "{\"version\":" + version + ",\"full\":" + (from < 0) + ",\"servers\":[" + String.join(",", chosen)
                + "]}";
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                Thread call = new Thread(() -> serve(socket));
                call.setDaemon(true);
                call.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (!head.toString().endsWith("\r\n\r\n")) {
                int read = in.read();
                if (read < 0) {
                    return;
                }
                head.append((char) read);
            }
            String body = answer(head.substring(0, head.indexOf("\r\n")));
            socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1));
            in.read();
        } catch (IOException | InterruptedException e) {
            // The caller has gone.
        }
    }

    private synchronized String answer(String request) throws InterruptedException {
        int from = request.indexOf("from=");
        if (from < 0) {
            return list(-1);
        }
        long since = number(request, from + 5);
        int hold = request.indexOf("hold_ms=");
        long end = System.currentTimeMillis() + (hold < 0 ? 0 : number(request, hold + 8));
        while (version <= since && System.currentTimeMillis() < end) {
            wait(Math.max(1, end - System.currentTimeMillis()));
        }
        return list(since);
    }

    private static long number(String text, int at) {
        int end = at;
        while (end < text.length() && Character.isDigit(text.charAt(end))) {
            end++;
        }
        return Long.parseLong(text.substring(at, end));
    }
}
