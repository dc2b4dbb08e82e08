package crankwick.app;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on a loopback port of its own, with a thread for each connection. */
abstract class LoopbackServer implements AutoCloseable {
    final ServerSocket listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    LoopbackServer() throws IOException {}

    /** Begins to accept; to be called once the server is whole. */
    final void start() {
        daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                daemon(() -> {
                    try (socket) {
                        socket.setTcpNoDelay(true);
                        serve(socket);
                    }
                });
            }
        });
    }

    /** Serves a connection, which ends when this returns. */
    abstract void serve(Socket socket) throws IOException, InterruptedException;

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // The peer has gone, or the test is over.
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Connections that are open. */
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
