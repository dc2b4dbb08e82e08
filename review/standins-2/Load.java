import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Ordinary clients of several proxies: one request at a time on a connection, further connections when all are busy. */
final class Load {
    interface Source {
        Client.Request next(Random random);
    }

    final List<Client> clients = new ArrayList<>();
    private final Rig rig;
    private final int[] ports;
    private final Random random = new Random();
    private final List<List<Client>> byProxy = new ArrayList<>();

    Load(Rig rig, int... ports) {
        this.rig = rig;
        this.ports = ports;
        for (int port : ports) {
            byProxy.add(new ArrayList<>());
        }
    }

    /** Sends for the given time at a mean rate, counted over all proxies. */
    void run(double millis, double perSecond, Source source) throws IOException {
        double end = Rig.now() + millis;
        double next = Rig.now();
        while (next < end) {
            Rig.sleep(next - Rig.now());
            int proxy = random.nextInt(ports.length);
            idleClient(proxy).send(source.next(random));
            next += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
        }
    }

    /** Sends requests of several clients at the same moment. */
    void burst(int requests, Source source) throws IOException {
        for (int i = 0; i < requests; i++) {
            idleClient(random.nextInt(ports.length)).send(source.next(random));
        }
    }

    private Client idleClient(int proxy) throws IOException {
        List<Client> own = byProxy.get(proxy);
        own.removeIf(client -> client.closed);
        for (Client client : own) {
            if (client.requests.isEmpty()
                    || client.requests.get(client.requests.size() - 1).answer != null) {
                return client;
            }
        }
        Client client = new Client(rig, ports[proxy]);
        own.add(client);
        clients.add(client);
        return client;
    }
}
