import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A station's databases move to other machines, one after the other: the address records of the old ones are withdrawn. */
final class MovedRecord {
    private static final int CLIENTS = 48;
    private static final double THINK_MILLIS = 150;
    private static final double WORK_MILLIS = 72;
    /** What discovery has to tell counts as told after 6 s at the latest; then 2 s of grace, 50 ms longer on sockets. */
    private static final double TOLD_MILLIS = 6_000;
    private static final double GRACE_MILLIS = 2_000 + 50;
    private static volatile boolean ended;

    private MovedRecord() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args[0], MovedRecord::run);
    }

    private static void writeZone(Path zone, List<TdsDatabase> databases) throws IOException {
        StringBuilder text = new StringBuilder("$TTL 120\n");
        databases.forEach(database -> text.append(database.records()));
        Path next = zone.resolveSibling("stations.next");
        Files.writeString(next, text);
        Files.move(next, zone, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private static void send(int port, List<Client.Request> sent) {
        try {
            TdsClient client = new TdsClient(port, "collectors");
            while (!ended) {
                Client.Request request = Client.Request.read("map-view", 1_000, 0, "u", "");
                sent.add(request);
                client.call(request);
                Rig.sleep(THINK_MILLIS * -Math.log(1 - Math.random()));
            }
        } catch (IOException e) {
            sent.add(Client.Request.read("connection lost", 0, 0, "u", ""));
        }
    }

    private static List<String> run(Rig rig) throws Exception {
        String[] zones = {"ulemiste", "lasnamae", "tartu-mnt"};
        List<TdsDatabase> databases = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            databases.add(new TdsDatabase(rig, "s-" + i, zones[i % 3], "127.0.0.1", 0, i == 0));
            databases.get(i).workMillis = WORK_MILLIS;
        }
        Path zone = rig.folder.resolve("stations.zone");
        writeZone(zone, databases);
        Path operator = rig.folder.resolve("tds.toml");
        Files.writeString(
                operator,
                Files.readString(Path.of("deploy/tds.toml")).replace("\"127.0.0.1:1433\"", "\"127.0.0.1:0\""));
        int port = rig.startServe("tds", operator).awaitPort();
        List<Client.Request> sent = new CopyOnWriteArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Rig.background(() -> send(port, sent));
        }
        Rig.sleep(3_000);
        List<TdsDatabase> old = new ArrayList<>();
        double changedAt = 0;
        for (int i = 2; i < 5; i++) {
            TdsDatabase leaves = databases.get(i);
            old.add(leaves);
            if (Rig.TROUBLE) {
                TdsDatabase moved = new TdsDatabase(rig, leaves.id, leaves.zone, "127.0.0.2", leaves.port(), false);
                moved.workMillis = WORK_MILLIS;
                databases.set(i, moved);
                writeZone(zone, databases);
            }
            changedAt = Rig.now();
            rig.note("zone file: " + Files.readString(zone).replace('\n', ';'));
            Rig.sleep(1_000);
        }
        Rig.sleep(20_000);
        ended = true;
        Rig.sleep(1_500);
        for (Client.Request request : sent) {
            rig.note("sent " + request.id + " class " + request.requestClass + " at " + Rig.at(request.sentAt) + ": "
                    + request.answer + " at " + Rig.at(request.answeredAt));
        }
        List<String> breaks = new ArrayList<>();
        for (TdsDatabase left : old) {
            int late = 0;
            for (Database.Arrival arrival : left.arrivals) {
                if (Rig.TROUBLE && arrival.at > changedAt + TOLD_MILLIS + GRACE_MILLIS) {
                    late++;
                    breaks.add(String.format(
                            "%s arrived at the withdrawn address of %s %.0f ms after the last change of the zone file",
                            arrival.id, left.id, arrival.at - changedAt));
                }
            }
            rig.note(left.id + " got " + left.arrivals.size() + " requests at its old address, " + late + " of them late");
        }
        return breaks;
    }
}
