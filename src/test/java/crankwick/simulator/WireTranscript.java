package crankwick.simulator;

/** Hand-written example input in the simulator's protocol. */
final class WireTranscript {
    static final String CONFIG = "{\"balancers\":2,\"my-zone\":0,\"discovery\":\"ask\",\"unheard-of\":[1],"
            + "\"bounds\":{\"probes\":true,\"may-cancel\":true,\"retry-after\":true,"
            + "\"max-retry-after-ms\":500,\"max-attempts\":8,\"connect-timeout-ms\":250},"
            + "\"charges\":{\"cross-zone\":0.01,\"probe\":0.01,\"waste\":0.02},"
            + "\"classes\":[{\"slo-ms\":300,\"deadline-ms\":900.5,\"worth\":1,\"late-value\":0,"
            + "\"repeat\":\"safe\",\"dedup-scope\":\"all\",\"key-ttl-ms\":1000},"
            + "{\"slo-ms\":300,\"deadline-ms\":900,\"worth\":2,\"late-value\":0.5,\"repeat\":\"unsafe\","
            + "\"dedup-scope\":\"cell\",\"key-ttl-ms\":1000}],"
            + "\"family-info\":{\"counted-from-ms\":1000.5,\"stamps\":true,\"session-marks\":\"remembered\","
            + "\"when-behind\":\"off\",\"shows-role\":\"late\",\"freshness\":[\"session\",\"write\"],"
            + "\"oldest-data-ms\":[0,0]},"
            + "\"report\":{\"fields\":[\"x0\",\"x1\",\"backlog\",\"utilization\"],\"how\":\"on_probe\"},"
            + "\"rules\":{\"answer-slack-ms\":20,\"drain-grace-ms\":250,\"start-capacity\":0.2,"
            + "\"ramp-time-ms\":10000,\"fall-multiple\":3,\"tip-after-ms\":1000}}";

    static final String START = "sync 5000\ninstance 0\nenlist 12 " + CONFIG + "\ndefine_list 0 2\n"
            + "item 10.0.0.1:1 0 0 4 1 live 1 -\nitem 10.0.0.2:1 0 0 4 0 live 1.5 100.0\n"
            + "membership restored 1 0\nwhisper 1 00\ngo\n";

    private WireTranscript() {}
}
