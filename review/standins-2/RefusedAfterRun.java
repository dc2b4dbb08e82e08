import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Many commands at once on a connection, behind one whose database has gone silent; the class of the others may not be repeated. */
final class RefusedAfterRun {
    private static final int READS_AT_ONCE = 160;
    private static final int VALUE_BYTES = 64 * 1_024;
    private static final double SILENT_MILLIS = 13_000;

    private RefusedAfterRun() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args[0], RefusedAfterRun::run);
    }

    private static List<String> run(Rig rig) throws Exception {
        List<Database> databases = new ArrayList<>();
        String[] zones = {"ulemiste", "lasnamae", "tartu-mnt"};
        for (int i = 0; i < 6; i++) {
            databases.add(new Database(rig, "s-" + i, zones[i % 3], 0, i == 0));
        }
        ListServer discovery = new ListServer(rig, databases);
        String settings = new Settings().addClasses("unsafe").toString();
        Rig.Program proxy = rig.startProxy("n1", 1, discovery.port(), discovery.whole(), settings, 1_024);
        int port = proxy.awaitPort();

        Client ordinary = new Client(rig, port);
        for (int i = 0; i < 60; i++) {
            ordinary.send(Client.Request.read("map-view", 1_000, 0, "u" + i, ""));
            if (i % 10 == 0) {
                ordinary.send(Client.Request.write("reserve", 3_000, 0, "u" + i, "warm" + i));
            }
            Rig.sleep(50);
        }
        for (Database database : databases) {
            database.valueBytes = VALUE_BYTES;
        }
        Client pipelined = new Client(rig, port);
        databases.get(0).hung = Rig.TROUBLE;
        rig.note("the primary " + (Rig.TROUBLE ? "goes silent" : "works on"));
        List<Client.Request> batch = new ArrayList<>();
        batch.add(Client.Request.write("reserve", 3_000, 0, "w", "key" + System.nanoTime()));
        for (int i = 0; i < READS_AT_ONCE; i++) {
            batch.add(Client.Request.read("map-view", 1_000, 0, "r" + i, ""));
        }
        pipelined.send(batch);
        Rig.sleep(SILENT_MILLIS);
        databases.get(0).hung = false;
        Rig.sleep(1_000);

        ordinary.writeRecord("ordinary");
        pipelined.writeRecord("pipelined");
        List<String> breaks = new ArrayList<>();
        Map<String, Database.Arrival> runs = new HashMap<>();
        for (Database database : databases) {
            for (Database.Arrival arrival : database.arrivals) {
                runs.put(arrival.id, arrival);
            }
        }
        for (Client.Request request : pipelined.requests) {
            Database.Arrival run = runs.get(request.id);
            if (request.requestClass.equals("map-view")
                    && "REFUSED".equals(request.answer)
                    && run != null
                    && run.answer.equals("a value")) {
                breaks.add("the unsafe request " + request.id + " ran at " + run.database + ", which answered at "
                        + Rig.at(run.answeredAt) + ", and was refused at " + Rig.at(request.answeredAt));
            }
        }
        return breaks;
    }
}
