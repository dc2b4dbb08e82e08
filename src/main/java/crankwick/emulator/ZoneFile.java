package crankwick.emulator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;

/** Writes endpoints as DNS-SD records to a zone file, which is replaced atomically. */
final class ZoneFile {
    private final String zoneName;
    private final Path file;

    ZoneFile(String zoneName, Path file) {
        this.zoneName = zoneName;
        this.file = file;
    }

    void write(List<EmulatedEndpoint> endpoints) {
        try {
            Path temporaryFile = file.resolveSibling(file.getFileName() + ".new");
            Files.writeString(temporaryFile, records(endpoints));
            Files.move(temporaryFile, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            throw new IllegalStateException("failed to write the zone file", e);
        }
    }

    private String records(List<EmulatedEndpoint> endpoints) {
        StringBuilder records = new StringBuilder("$TTL 5\ndb.stations.example. IN A 127.0.0.1\n");
        endpoints.forEach(endpoint -> append(records, endpoint));
        return records.toString();
    }

    private void append(StringBuilder records, EmulatedEndpoint endpoint) {
        records.append("@ IN PTR ")
                .append(endpoint.id())
                .append("._tds._tcp.stations.example.\n")
                .append(endpoint.id())
                .append(" IN SRV 0 0 ")
                .append(endpoint.port())
                .append(" db.stations.example.\n")
                .append(endpoint.id())
                .append(" IN TXT zone=")
                .append(zoneName)
                .append(" cell=")
                .append(endpoint.groupId())
                .append(" mode=")
                .append(endpoint.mode())
                .append(" state=")
                .append(endpoint.state())
                .append(" started_ms=")
                .append(endpoint.startedAtMillis())
                .append('\n');
    }
}
