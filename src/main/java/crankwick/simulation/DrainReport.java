package crankwick.simulation;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The result of a {@link DrainSimulation}.
 *
 * @param drains drains that were started
 * @param lateNotifications drains of which a proxy was notified late or not at all, counted per proxy
 * @param staleProxies proxies that have not received the last drain by the end of the run
 * @param callsPerProxySecond calls to discovery per proxy and second
 */
public record DrainReport(
        int proxies, int drains, long lateNotifications, long staleProxies, double callsPerProxySecond) {
    /** Returns all figures by the names, and in the order, of the command line output. */
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
