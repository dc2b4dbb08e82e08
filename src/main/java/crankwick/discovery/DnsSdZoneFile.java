package crankwick.discovery;

import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.Role;
import crankwick.transport.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.Master;
import org.xbill.DNS.Name;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.TXTRecord;

/**
 * The list of databases as DNS-SD records in a zone's master file, read again when it changes. Under the
 * service's name, PTR names the instances; each has an SRV (port, target), a TXT and its target an A.
 * The TXT's keys are those of the platform's list: zone, cell, state, mode, started_ms.
 */
public final class DnsSdZoneFile implements Discovery {
    private static final Logger LOG = LoggerFactory.getLogger(DnsSdZoneFile.class);

    /** The records' file, and the service's name in it. */
    public record Zone(Path file, Name service) {}

    private final Callable<Zone> configured;
    private final List<String> zones;
    private final long rereadEvery;
    private final EventLoop loop;
    private final Consumer<ListUpdate> listener;
    private final EndpointList listing;
    private Zone zone;
    private String last = "";
    /** What was wrong when it was last looked at: a line is worth it once. */
    private String fault = "";

    private boolean watching;

    /**
     * Goes on from {@code known}; {@code zones} names them in the settings' order. The file is looked at
     * every so many microseconds.
     */
    public DnsSdZoneFile(
            Zone zone,
            Callable<Zone> configured,
            List<String> zones,
            ListUpdate known,
            long rereadEvery,
            EventLoop loop,
            Consumer<ListUpdate> listener) {
        this.zone = zone;
        this.configured = configured;
        this.zones = zones;
        this.rereadEvery = rereadEvery;
        this.loop = loop;
        this.listener = listener;
        listing = new EndpointList(known.discovered());
    }

    @Override
    public void start() {
        watching = true;
        look();
    }

    @Override
    public void reload() {
        try {
            zone = configured.call();
        } catch (Exception e) {
            LOG.warn(
                    "the configuration can't be read, {} stays: {}", zone.file().getFileName(), e.getMessage());
            return;
        }
        read();
    }

    @Override
    public void close() {
        watching = false;
    }

    private void look() {
        if (watching) {
            read();
            loop.after(rereadEvery, this::look);
        }
    }

    /** A file caught half written, or with a fault, leaves the list as it is. */
    private void read() {
        try {
            String text = Files.readString(zone.file());
            if (!text.equals(last)) {
                List<EndpointList.Entry> entries = parse(zone, zones);
                String unread = EndpointList.fault(entries);
                if (unread != null) {
                    LOG.warn("{} can't be read in part: {}", zone.file().getFileName(), unread);
                }
                listener.accept(listing.take(true, entries));
                last = text;
                fault = "";
            }
        } catch (IOException | RuntimeException e) {
            if (!fault.equals(e.toString())) {
                LOG.warn("{} can't be read, the list stays: {}", zone.file().getFileName(), e.getMessage());
            }
            fault = e.toString();
        }
    }

    /** The databases that a zone's file names, as far as they can be read; throws where it is none. */
    public static List<EndpointList.Entry> parse(Zone zone, List<String> zones) throws IOException {
        List<Name> instances = new ArrayList<>();
        Map<Name, SRVRecord> places = new HashMap<>();
        Map<Name, TXTRecord> texts = new HashMap<>();
        Map<Name, InetAddress> addresses = new HashMap<>();
        try (Master master = new Master(zone.file().toString(), zone.service())) {
            for (Record r = master.nextRecord(); r != null; r = master.nextRecord()) {
                if (r instanceof PTRRecord ptr && r.getName().equals(zone.service())) {
                    instances.add(ptr.getTarget());
                } else if (r instanceof SRVRecord srv) {
                    places.put(r.getName(), srv);
                } else if (r instanceof TXTRecord txt) {
                    texts.put(r.getName(), txt);
                } else if (r instanceof ARecord a) {
                    addresses.put(r.getName(), a.getAddress());
                }
            }
        }
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (Name instance : instances) {
            SRVRecord place = places.get(instance);
            entries.add(entry(
                    instance,
                    place,
                    place == null ? null : addresses.get(place.getTarget()),
                    texts.get(instance),
                    zones));
        }
        return entries;
    }

    private static EndpointList.Entry entry(
            Name instance, SRVRecord place, InetAddress address, TXTRecord txt, List<String> zones) {
        String server = instance.getLabelString(0);
        EndpointStatus standing = null;
        try {
            Map<String, String> facts = facts(txt);
            standing = EndpointListCodec.status(facts.getOrDefault("state", "up"));
            Role role = "read-write".equals(facts.get("mode")) ? Role.PRIMARY : Role.UNKNOWN;
            if (address == null) {
                throw new IllegalArgumentException("lacks its SRV or A");
            }
            Endpoint member = new Endpoint(
                    server,
                    zones.indexOf(facts.getOrDefault("zone", "")),
                    Long.parseLong(facts.getOrDefault("cell", "")),
                    role,
                    standing,
                    Long.parseLong(facts.getOrDefault("started_ms", "0")) * 1_000);
            return EndpointList.Entry.of(
                    new DiscoveredEndpoint(member, new InetSocketAddress(address, place.getPort())));
        } catch (IllegalArgumentException e) {
            return new EndpointList.Entry(server, standing, null, instance + ": " + e.getMessage());
        }
    }

    private static Map<String, String> facts(TXTRecord txt) {
        if (txt == null) {
            throw new IllegalArgumentException("lacks its TXT");
        }
        Map<String, String> facts = new HashMap<>();
        for (String text : txt.getStrings()) {
            int equals = text.indexOf('=');
            if (equals > 0) {
                facts.put(text.substring(0, equals), text.substring(equals + 1));
            }
        }
        return facts;
    }
}
