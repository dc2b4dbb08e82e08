package crankwick.app;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on its own loopback port, with one thread per connection. */
abstract class LoopbackServer implements AutoCloseable {
    final ServerSocket listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    LoopbackServer() throws IOException {}

    /** Starts to accept connections; subclasses call this once their fields are initialized. */
    final void start() {
        startDaemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                startDaemon(() -> {
                    try (socket) {
                        socket.setTcpNoDelay(true);
                        serve(socket);
                    }
                });
            }
        });
    }

    /** Serves a connection, which is closed when this returns. */
    abstract void serve(Socket socket) throws IOException, InterruptedException;

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void startDaemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // The peer has closed the connection, or the test has ended.
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Number of open connections. */
    final int connections() {
        sockets.removeIf(Socket::isClosed);
        return sockets.size();
    }

    @Override
    public final void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
