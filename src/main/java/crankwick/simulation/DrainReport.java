package crankwick.simulation;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The result of a {@link DrainSimulation}.
 *
 * @param drains number of drains that were started
 * @param lateNotifications how often a proxy had not received a drain by the end of the drain grace, summed over all
 *     proxies and drains
 * @param staleProxies number of proxies that had not received the last drain by the end of the run
 * @param callsPerProxySecond calls to discovery per proxy and simulated second
 */
public record DrainReport(
        int proxies, int drains, long lateNotifications, long staleProxies, double callsPerProxySecond) {
    /** Returns all figures under their names in the command's output, in the order of that output. */
    public Map<String, Object> figures() {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("proxies", proxies);
        figures.put("drains", drains);
        figures.put("heard_late", lateNotifications);
        figures.put("not_heard", staleProxies);
        figures.put("calls_per_proxy_s", callsPerProxySecond);
        return figures;
    }
}
