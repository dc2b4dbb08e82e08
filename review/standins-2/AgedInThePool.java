import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Replicas apply their log more slowly for a while, and some connections to them come up late. */
final class AgedInThePool {
    private static final int EPISODES = 7;
    /** Databases close connections that have been idle for this long. */
    private static final int IDLE_MILLIS = 300;
    /** The replicas fall behind one after the other. */
    private static final double STAGGER_MILLIS = 80;
    private static final double BURST_EVERY_MILLIS = 400;
    private static final int BURST_CLIENTS = 30;
    private static final double SLOWER = 14;
    private static final double SLOW_MILLIS = 9_400;
    private static final double LATE_CONNECTION_MILLIS = 220;
    private static final double BOUND_MILLIS = 3_000;
    /** Every time limit is 50 ms longer on sockets. */
    private static final double SLACK_MILLIS = 50;

    private AgedInThePool() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args[0], AgedInThePool::run);
    }

    /** Sends the requests in bursts, each from several clients at the same moment. */
    private static void burst(Load load, double millis, Load.Source source) throws Exception {
        double end = Rig.now() + millis;
        while (Rig.now() < end) {
            load.burst(BURST_CLIENTS, source);
            Rig.sleep(BURST_EVERY_MILLIS * (0.8 + 0.4 * Math.random()));
        }
    }

    private static List<String> run(Rig rig) throws Exception {
        List<Database> databases = new ArrayList<>();
        String[] zones = {"ulemiste", "lasnamae", "tartu-mnt"};
        for (int i = 0; i < 6; i++) {
            databases.add(new LaggingReplica(rig, "s-" + i, zones[i % 3], 0, i == 0));
            databases.get(i).workMillis = 50;
        }
        ListServer discovery = new ListServer(rig, databases);
        Settings settings = new Settings().addClasses("safe");
        settings.whenBehind = "off";
                Rig.Program proxy =
                rig.startProxy("n1", 1, discovery.port(), discovery.whole(), settings.toString(), 1_024);
        Load load = new Load(rig, proxy.awaitPort());

        Load.Source source = random -> random.nextDouble() < 0.93
                ? Client.Request.read("map-view", 1_000, 0, "u" + random.nextInt(100_000), "")
                : Client.Request.write("reserve", 3_000, 0, "w", "k" + random.nextLong());
        load.run(4_000, 250, source);
        for (int episode = 0; episode < EPISODES; episode++) {
            for (Database database : databases.subList(1, 6)) {
                LaggingReplica replica = (LaggingReplica) database;
                replica.lateMillis = LATE_CONNECTION_MILLIS;
                replica.lateShare = Rig.TROUBLE ? 0.33 : 0;
                replica.idleMillis = Rig.TROUBLE ? IDLE_MILLIS : 0;
                replica.slowDown(Rig.TROUBLE ? SLOWER : 1);
                Rig.sleep(STAGGER_MILLIS);
            }
            burst(load, SLOW_MILLIS, source);
            for (Database database : databases.subList(1, 6)) {
                ((LaggingReplica) database).slowDown(1);
            }
            load.run(4_000, 250, source);
        }
        Rig.sleep(3_000);
        Map<String, Client.Request> requests = new HashMap<>();
        for (Client client : load.clients) {
            client.writeRecord("client");
            client.requests.forEach(request -> requests.put(request.id, request));
        }
        List<String> breaks = new ArrayList<>();
        for (Database database : databases) {
            for (Database.Arrival arrival : database.arrivals) {
                double age = arrival.at - arrival.position;
                if (arrival.requestClass.equals("map-view")
                        && arrival.position > 0
                        && "SERVED".equals(requests.get(arrival.id).answer)
                        && age > BOUND_MILLIS + SLACK_MILLIS) {
                    breaks.add(String.format(
                            "%s arrived at %s at %s and was answered from data %.0f ms old",
                            arrival.id, database.id, Rig.at(arrival.at), age));
                }
            }
        }
        return breaks;
    }
}
