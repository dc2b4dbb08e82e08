package crankwick.simulation;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The result of a {@link DrainSimulation}.
 *
 * @param drains databases that began to drain
 * @param receivedLate drains that a proxy knew of too late, counted for each proxy
 * @param staleProxies proxies that do not know of the last drain
 * @param callsPerProxySecond calls to discovery, for each proxy and second
 */
public record DrainReport(int proxies, int drains, long receivedLate, long staleProxies, double callsPerProxySecond) {
    /** All figures under the names that the command line prints, in its order. */
    public Map<String, Object> figures() {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("proxies", proxies);
        figures.put("drains", drains);
        figures.put("heard_late", receivedLate);
        figures.put("not_heard", staleProxies);
        figures.put("calls_per_proxy_s", callsPerProxySecond);
        return figures;
    }
}
