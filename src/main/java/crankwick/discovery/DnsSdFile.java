package crankwick.discovery;

import crankwick.RouterApi.ListKind;
import crankwick.RouterApi.Member;
import crankwick.RouterApi.Role;
import crankwick.net.EventLoop;
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
public final class DnsSdFile implements Discovery {
    private static final Logger LOG = LoggerFactory.getLogger(DnsSdFile.class);

    /** The records' file, and the service's name in it. */
    public record Zone(Path file, Name service) {
    }

    private final Callable<Zone> configured;
    private final List<String> zones;
    private final long rereadEvery;
    private final EventLoop loop;
    private final Consumer<News> listener;
    private Zone zone;
    private String last = "";
    /** What was wrong when it was last looked at: a line is worth it once. */
    private String fault = "";
    private boolean watching;

    /** {@code zones} names them in the settings' order; the file is looked at every so many microseconds. */
    public DnsSdFile(Zone zone, Callable<Zone> configured, List<String> zones, long rereadEvery,
            EventLoop loop, Consumer<News> listener) {
        this.zone = zone;
        this.configured = configured;
        this.zones = zones;
        this.rereadEvery = rereadEvery;
        this.loop = loop;
        this.listener = listener;
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
            LOG.warn("the configuration can't be read, {} stays: {}", zone.file().getFileName(),
                    e.getMessage());
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
                List<String> faults = new ArrayList<>();
                List<Host> hosts = parse(zone, zones, faults);
                if (!faults.isEmpty()) {
                    LOG.warn("{} can't be read in part: {}", zone.file().getFileName(), faults.get(0));
                }
                listener.accept(new News(faults.isEmpty() ? ListKind.FULL : ListKind.CHANGES, hosts));
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

    /**
     * The databases that a zone's file names; throws where it is no such file. What can't be read of one is
     * added to {@code faults}, and the database left out.
     */
    public static List<Host> parse(Zone zone, List<String> zones, List<String> faults) throws IOException {
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
        List<Host> hosts = new ArrayList<>();
        for (Name instance : instances) {
            SRVRecord place = places.get(instance);
            InetAddress address = place == null ? null : addresses.get(place.getTarget());
            if (address == null || !texts.containsKey(instance)) {
                faults.add(instance + " lacks its SRV, A or TXT");
                continue;
            }
            try {
                hosts.add(new Host(member(instance, texts.get(instance), zones),
                        new InetSocketAddress(address, place.getPort())));
            } catch (IllegalArgumentException e) {
                faults.add(instance + ": " + e.getMessage());
            }
        }
        return hosts;
    }

    private static Member member(Name instance, TXTRecord txt, List<String> zones) {
        Map<String, String> facts = new HashMap<>();
        for (String text : txt.getStrings()) {
            int equals = text.indexOf('=');
            if (equals > 0) {
                facts.put(text.substring(0, equals), text.substring(equals + 1));
            }
        }
        Role role = "read-write".equals(facts.get("mode")) ? Role.PRIMARY : Role.UNKNOWN;
        return new Member(instance.getLabelString(0), zones.indexOf(facts.getOrDefault("zone", "")),
                Long.parseLong(facts.getOrDefault("cell", "")), role,
                ListCodec.standing(facts.getOrDefault("state", "up")),
                Long.parseLong(facts.getOrDefault("started_ms", "0")) * 1_000);
    }
}
