import java.io.IOException;
import java.util.Random;

/** A database whose log apply can be slowed down; it answers reads from what it has and is as quick as ever. */
final class LaggingReplica extends Database {
    private static final double USUAL_LAG_MILLIS = 20;

    private final Random random = new Random();
    private double lag = USUAL_LAG_MILLIS;
    private double updatedAt = Rig.now();
    /** How many times more slowly than usual the log is applied; 1 for as usual. */
    private double slowdown = 1;
    /** Share of new connections that come up late, and by how much. */
    volatile double lateShare;

    volatile double lateMillis;

    LaggingReplica(Rig rig, String id, String zone, int group, boolean primary) throws IOException {
        super(rig, id, zone, group, primary);
    }

    synchronized void slowDown(double factor) {
        position();
        slowdown = factor;
    }

    /** While applying slowly it falls behind; afterwards it catches up ten times as fast as time passes. */
    @Override
    synchronized double position() {
        double now = Rig.now();
        double passed = now - updatedAt;
        updatedAt = now;
        lag = slowdown > 1 ? lag + passed * (1 - 1 / slowdown) : Math.max(USUAL_LAG_MILLIS, lag - 10 * passed);
        return primary ? now : now - lag;
    }

    @Override
    void greet() {
        if (random.nextDouble() < lateShare) {
            Rig.sleep(lateMillis);
        }
    }

    @Override
    byte[] execute(Arrival arrival, String text) {
        if (text.contains("INSERT") && !primary) {
            arrival.answer = "25006";
            return Pg.concat(Pg.error("25006"), statuses(), Pg.ready());
        }
        Rig.sleep(workMillis * -Math.log(1 - random.nextDouble()));
        double position = position();
        arrival.position = position;
        arrival.answer = String.format("a value as of %.1f ms before it arrived", arrival.at - position);
        arrival.answeredAt = Rig.now();
        return Pg.concat(Pg.row(arrival.id.getBytes()), statuses(), Pg.ready());
    }
}
