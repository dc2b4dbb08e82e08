/** The settings of a small deployment: those of the operators' example, reduced to the keys that a proxy reads. */
final class Site {
    private Site() {}

    static String settings(int proxies, String whenBehind) {
        return "{\"balancers\":" + proxies + ",\"my-zone\":0,\"discovery\":\"ask\","
                + "\"failure-domains\":[\"ulemiste\",\"lasnamae\",\"tartu-mnt\"],"
                + "\"bounds\":{\"conn-idle-ms\":15000.0,\"connect-timeout-ms\":250.0,\"max-attempts\":8,"
                + "\"max-retry-after-ms\":2000.0,\"may-cancel\":true,\"may-duplicate\":false,\"probes\":true,"
                + "\"retry-after\":true},"
                + "\"charges\":{\"cross-zone\":0.0095,\"probe\":0.021,\"waste\":0.05},"
                + "\"classes\":[" + oneClass("map-view", "safe", "all", 5000, 300, 1000, 1, 0.2) + ","
                + oneClass("my-changes", "safe", "all", 5000, 500, 1200, 1, 0) + ","
                + oneClass("plug-check", "safe", "all", 5000, 600, 2000, 1, 0) + ","
                + oneClass("reserve", "keyed", "cell", 2000, 750, 3000, 6, 0.5) + "],"
                + "\"family-info\":{\"commit-waits\":true,\"counted-from-ms\":0.0,"
                + "\"freshness\":[\"bounded\",\"session\",\"fresh\",\"write\"],"
                + "\"oldest-data-ms\":[3000.0,0.0,0.0,0.0],\"session-marks\":\"carried\",\"shows-role\":\"late\","
                + "\"stamps\":true,\"wait-ms\":20.0,\"when-behind\":\"" + whenBehind + "\"},"
                + "\"report\":{\"fields\":[\"x0\",\"x1\"],\"how\":\"inline\"},"
                + "\"rules\":{\"answer-slack-ms\":20.0,\"ask-within-ms\":10000.0,\"drain-grace-ms\":2000.0,"
                + "\"fall-multiple\":2.5,\"ramp-time-ms\":16000.0,\"start-capacity\":0.18,\"tip-after-ms\":2000.0}}";
    }

    private static String oneClass(
            String name, String repeat, String scope, int ttl, int objective, int deadline, int worth, double late) {
        return "{\"name\":\"" + name + "\",\"repeat\":\"" + repeat + "\",\"dedup-scope\":\"" + scope
                + "\",\"key-ttl-ms\":" + ttl + ".0,\"slo-ms\":" + objective + ".0,\"deadline-ms\":" + deadline
                + ".0,\"worth\":" + worth + ".0,\"late-value\":" + late + ",\"stream\":false}";
    }
}
