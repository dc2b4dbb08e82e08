package crankwick.discovery;

import crankwick.RouterApi.ListKind;
import crankwick.RouterApi.Member;
import crankwick.RouterApi.Standing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Makes news of a list's entries, of which some can't be read. Each database is kept as it was last read, so
 * that a fault costs no more than it must: an entry whose name can be read stands for the database as it was,
 * and leads only towards caution. It is as large as the list. Not safe for use by several threads.
 */
public final class Listing {
    /**
     * One entry as far as it can be read.
     *
     * @param server the database's name, null if that can't be read
     * @param standing null if that can't be read
     * @param host null unless all of it can be read
     * @param fault what can't be read, null if all can
     */
    public record Entry(String server, Standing standing, Discovery.Host host, String fault) {
        /** An entry that can be read. */
        static Entry of(Discovery.Host host) {
            return new Entry(host.member().server(), host.member().standing(), host, null);
        }
    }

    private final Map<String, Discovery.Host> last = new HashMap<>();

    /** Goes on from the list last had. */
    public Listing(List<Discovery.Host> known) {
        known.forEach(host -> last.put(host.member().server(), host));
    }

    /** What is wrong with the first entry that can't be read, or null. */
    public static String fault(List<Entry> entries) {
        for (Entry entry : entries) {
            if (entry.fault() != null) {
                return entry.fault();
            }
        }
        return null;
    }

    /** The list that a configuration holds; throws IllegalArgumentException where not all can be read. */
    public static Discovery.News known(List<Entry> entries) {
        String fault = fault(entries);
        if (fault != null) {
            throw new IllegalArgumentException(fault);
        }
        List<Discovery.Host> hosts = new ArrayList<>();
        for (Entry entry : entries) {
            hosts.add(entry.host());
        }
        return new Discovery.News(ListKind.RESTORED, hosts);
    }

    /**
     * The news that a list brings, {@code full} if it claims to name all there are. It is a whole list only
     * where each entry's name can be read: any database might be the one without. Of a database named twice,
     * that it drains counts.
     */
    public Discovery.News take(boolean full, List<Entry> entries) {
        Map<String, Discovery.Host> told = new LinkedHashMap<>();
        boolean whole = full;
        for (Entry entry : entries) {
            whole &= entry.server() != null;
            Discovery.Host host = entry.host() != null ? entry.host() : lastOf(entry);
            if (host != null) {
                told.merge(
                        entry.server(),
                        host,
                        (before, after) -> before.member().standing() == Standing.DRAINING ? before : after);
            }
        }
        if (whole) {
            last.clear();
        }
        told.forEach((server, host) -> {
            if (host.member().standing() == Standing.GONE) {
                last.remove(server);
            } else {
                last.put(server, host);
            }
        });
        return new Discovery.News(whole ? ListKind.FULL : ListKind.CHANGES, new ArrayList<>(told.values()));
    }

    /** The database of an entry that can't be read, as it was, or leaving if that much can be read. */
    private Discovery.Host lastOf(Entry entry) {
        Discovery.Host host = last.get(entry.server());
        if (host == null || entry.standing() == null || entry.standing() == Standing.LIVE) {
            return host;
        }
        Member m = host.member();
        return new Discovery.Host(
                new Member(m.server(), m.zone(), m.group(), m.role(), entry.standing(), m.startedAt()), host.address());
    }
}
