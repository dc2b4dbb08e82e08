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
 * Reads the endpoint list from DNS-SD records in a zone's master file and applies the file's changes. PTR records
 * under the service's name list the instances; each instance has an SRV record (port, target) and a TXT record, and the
 * SRV target has an A record. The TXT keys are those of the platform's list: zone, cell, state, mode, started_ms.
 */
public final class DnsSdZoneFile implements Discovery {
    private static final Logger LOG = LoggerFactory.getLogger(DnsSdZoneFile.class);
    private static final long MICROS_PER_MILLI = 1_000;

    /** The master file and the name of the service in it. */
    public record DnsZone(Path file, Name service) {}

    private final ConfigurationSource<DnsZone> configured;
    private final List<String> zones;
    private final long rereadInterval;
    private final EventLoop loop;
    private final Consumer<ListUpdate> listener;
    private final EndpointList endpointList;
    private DnsZone zone;
    private String lastText = "";
    /**
     * The failure of the last read of the zone file, or empty; the same failure of the next read is not logged again.
     */
    private String lastFault = "";

    private boolean watching;

    /**
     * Starts from the list {@code known}; {@code zones} has the zone names by zone index. The file is read again every
     * {@code rereadInterval} microseconds.
     */
    public DnsSdZoneFile(
            DnsZone zone,
            ConfigurationSource<DnsZone> configured,
            List<String> zones,
            ListUpdate known,
            long rereadInterval,
            EventLoop loop,
            Consumer<ListUpdate> listener) {
        this.zone = zone;
        this.configured = configured;
        this.zones = zones;
        this.rereadInterval = rereadInterval;
        this.loop = loop;
        this.listener = listener;
        endpointList = new EndpointList(known.discoveredEndpoints());
    }

    @Override
    public void start() {
        watching = true;
        pollFile();
    }

    @Override
    public void reload() {
        try {
            zone = configured.read();
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn(
                    "cannot reload the configuration; keeping zone file {}: {}",
                    zone.file().getFileName(),
                    e.getMessage());
            return;
        }
        read();
    }

    @Override
    public void close() {
        watching = false;
    }

    private void pollFile() {
        if (watching) {
            read();
            loop.schedule(rereadInterval, this::pollFile);
        }
    }

    /**
     * Applies the file as a full list if its text has changed. A file that cannot be read or parsed leaves the endpoint
     * list unchanged; an instance with missing or invalid records keeps its last known state.
     */
    private void read() {
        try {
            String text = Files.readString(zone.file());
            if (!text.equals(lastText)) {
                List<EndpointList.Entry> entries = parse(zone, zones);
                String fault = EndpointList.firstFault(entries);
                if (fault != null) {
                    LOG.warn(
                            "zone file {} has unreadable entries; using their last known state: {}",
                            zone.file().getFileName(),
                            fault);
                }
                listener.accept(endpointList.merge(true, entries));
                lastText = text;
                lastFault = "";
            }
        } catch (IOException | RuntimeException e) {
            // The DNS library throws various unchecked exceptions for malformed records.
            if (!lastFault.equals(e.toString())) {
                LOG.warn(
                        "cannot read zone file {}; keeping the current endpoint list: {}",
                        zone.file().getFileName(),
                        e.getMessage());
            }
            lastFault = e.toString();
        }
    }

    /** Reads the entries of a zone file; an instance with missing or invalid records becomes an unreadable entry. */
    public static List<EndpointList.Entry> parse(DnsZone zone, List<String> zones) throws IOException {
        List<Name> instances = new ArrayList<>();
        Map<Name, SRVRecord> services = new HashMap<>();
        Map<Name, TXTRecord> texts = new HashMap<>();
        Map<Name, InetAddress> addresses = new HashMap<>();
        try (Master master = new Master(zone.file().toString(), zone.service())) {
            for (Record dnsRecord = master.nextRecord(); dnsRecord != null; dnsRecord = master.nextRecord()) {
                if (dnsRecord instanceof PTRRecord ptr && dnsRecord.getName().equals(zone.service())) {
                    instances.add(ptr.getTarget());
                } else if (dnsRecord instanceof SRVRecord srv) {
                    services.put(dnsRecord.getName(), srv);
                } else if (dnsRecord instanceof TXTRecord txt) {
                    texts.put(dnsRecord.getName(), txt);
                } else if (dnsRecord instanceof ARecord a) {
                    addresses.put(dnsRecord.getName(), a.getAddress());
                }
            }
        }
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (Name instance : instances) {
            SRVRecord service = services.get(instance);
            entries.add(entry(
                    instance,
                    service,
                    service == null ? null : addresses.get(service.getTarget()),
                    texts.get(instance),
                    zones));
        }
        return entries;
    }

    private static EndpointList.Entry entry(
            Name instance, SRVRecord service, InetAddress address, TXTRecord txt, List<String> zones) {
        String endpointId = instance.getLabelString(0);
        EndpointStatus status = null;
        try {
            Map<String, String> attributes = attributes(txt);
            status = EndpointListCodec.parseStatus(attributes.getOrDefault("state", "up"));
            Role role = "read-write".equals(attributes.get("mode")) ? Role.PRIMARY : Role.UNKNOWN;
            if (address == null) {
                throw new EndpointListFormatException("no SRV record, or no A record for its target");
            }
            Endpoint endpoint = new Endpoint(
                    endpointId,
                    zones.indexOf(attributes.getOrDefault("zone", "")),
                    Long.parseLong(attributes.getOrDefault("cell", "")),
                    role,
                    status,
                    Long.parseLong(attributes.getOrDefault("started_ms", "0")) * MICROS_PER_MILLI);
            return EndpointList.Entry.of(
                    new DiscoveredEndpoint(endpoint, new InetSocketAddress(address, service.getPort())));
        } catch (IllegalArgumentException e) {
            return new EndpointList.Entry(endpointId, status, null, instance + ": " + e.getMessage());
        }
    }

    private static Map<String, String> attributes(TXTRecord txt) {
        if (txt == null) {
            throw new EndpointListFormatException("no TXT record");
        }
        Map<String, String> attributes = new HashMap<>();
        for (String text : txt.getStrings()) {
            int equals = text.indexOf('=');
            if (equals > 0) {
                attributes.put(text.substring(0, equals), text.substring(equals + 1));
            }
        }
        return attributes;
    }
}
