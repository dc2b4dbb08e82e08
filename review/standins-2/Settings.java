import java.util.ArrayList;
import java.util.List;

/** The settings of a small deployment, as JSON; the values are those of the deployment's own settings unless changed. */
final class Settings {
    int balancers = 1;
    String discovery = "ask";
    String whenBehind = "wait";
    String sessionMarks = "carried";
    String probes = "true";
    double fallMultiple = 2.5;
    double startCapacity = 0.18;
    double rampMillis = 16_000;
    double tipMillis = 2_000;
    double drainGraceMillis = 2_000;
    double connectionIdleMillis = 15_000;
    private final List<String> classes = new ArrayList<>();
    private final List<String> freshness = new ArrayList<>();
    private final List<String> oldest = new ArrayList<>();

    Settings add(
            String name, String read, double boundMillis, String repeat, String scope, double keyMillis, double sloMillis,
            double deadlineMillis, double worth, double lateValue) {
        classes.add(String.format(
                "{\"name\":\"%s\",\"repeat\":\"%s\",\"dedup-scope\":\"%s\",\"key-ttl-ms\":%.1f,\"slo-ms\":%.1f,"
                        + "\"deadline-ms\":%.1f,\"worth\":%.1f,\"late-value\":%.1f,\"stream\":false}",
                name, repeat, scope, keyMillis, sloMillis, deadlineMillis, worth, lateValue));
        freshness.add('"' + read + '"');
        oldest.add(String.valueOf(boundMillis));
        return this;
    }

    /** The four classes of the deployment; {@code mapViewRepeat} is the effect of the map views. */
    Settings addClasses(String mapViewRepeat) {
        add("map-view", "bounded", 3_000, mapViewRepeat, "all", 5_000, 300, 1_000, 1, 0.2);
        add("my-changes", "session", 0, "safe", "all", 5_000, 500, 1_200, 1, 0);
        add("plug-check", "fresh", 0, "safe", "all", 5_000, 600, 2_000, 1, 0);
        return add("reserve", "write", 0, "keyed", "cell", 2_000, 750, 3_000, 6, 0.5);
    }

    @Override
    public String toString() {
        return "{\"balancers\":" + balancers + ",\"my-zone\":0,\"rank\":0,\"discovery\":\"" + discovery
                + "\",\"failure-domains\":[\"ulemiste\",\"lasnamae\",\"tartu-mnt\"],\"kinds\":[\"fast-4\",\"plain-5\"],"
                + "\"bounds\":{\"conn-idle-ms\":" + connectionIdleMillis + ",\"connect-timeout-ms\":250.0,\"max-attempts\":8,"
                + "\"max-open\":20000,\"max-retry-after-ms\":2000.0,\"may-cancel\":true,\"may-duplicate\":false,"
                + "\"multiplex\":1,\"peers\":false,\"probes\":" + probes + ",\"retry-after\":true},"
                + "\"charges\":{\"cross-zone\":0.0095,\"probe\":0.021,\"waste\":0.05,\"late-fail\":0.08},"
                + "\"family-info\":{\"commit-waits\":true,\"counted-from-ms\":0.0,\"freshness\":["
                + String.join(",", freshness) + "],\"oldest-data-ms\":[" + String.join(",", oldest)
                + "],\"session-marks\":\"" + sessionMarks + "\",\"shows-role\":\"late\",\"stamps\":true,\"wait-ms\":20.0,"
                + "\"when-behind\":\"" + whenBehind + "\"},\"report\":{\"fields\":[\"x0\",\"x1\"],\"how\":\"inline\"},"
                + "\"rules\":{\"answer-slack-ms\":20.0,\"ask-within-ms\":10000.0,\"drain-grace-ms\":" + drainGraceMillis
                + ",\"fall-multiple\":" + fallMultiple + ",\"ramp-time-ms\":" + rampMillis + ",\"start-capacity\":"
                + startCapacity + ",\"tip-after-ms\":" + tipMillis + "},\"classes\":[" + String.join(",", classes) + "]}";
    }
}
