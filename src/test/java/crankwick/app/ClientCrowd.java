package crankwick.app;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Clients that do the same again and again on new connections, each on a thread of its own, until they are stopped. */
final class ClientCrowd {
    /** What a client does on a connection on which it has logged in. */
    interface Behaviour {
        void behave(ClientCrowd crowd, Socket socket) throws IOException, InterruptedException;
    }

    private final Deployment deployment;
    private final Behaviour behaviour;
    private final List<Thread> threads = new ArrayList<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean stopped;

    /** Starts the clients. */
    ClientCrowd(Deployment deployment, int clients, Behaviour behaviour) {
        this.deployment = deployment;
        this.behaviour = behaviour;
        for (int i = 0; i < clients; i++) {
            threads.add(new Thread(this::behaveUntilStopped, "crowd"));
            threads.get(i).start();
        }
    }

    boolean isStopped() {
        return stopped;
    }

    private void behaveUntilStopped() {
        while (!stopped) {
            try (Socket socket = deployment.connect()) {
                sockets.add(socket);
                deployment.wire.login(socket, "collectors");
                behaviour.behave(this, socket);
                sockets.remove(socket);
            } catch (IOException e) {
                // The proxy has rejected or closed the connection, or the crowd is stopped.
                Thread.onSpinWait();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Closes all connections and waits for the threads. */
    void stop() throws IOException, InterruptedException {
        stopped = true;
        for (Thread client : threads) {
            for (Socket socket : sockets) {
                socket.close();
                sockets.remove(socket);
            }
            client.join();
        }
    }
}
