package crankwick.pg;

import crankwick.client.ClientReply;
import crankwick.database.DatabaseReply;
import crankwick.routing.api.AttemptResult;
import crankwick.transport.CodecFilter;
import java.nio.charset.StandardCharsets;

/** A database's side of PostgreSQL's protocol, for emulated ones: reads as the front does. */
public final class PgEmulatorCodec extends CodecFilter {
    private final PgClientCodec front = new PgClientCodec();

    @Override
    protected Decoder newDecoder() {
        return front.newDecoder();
    }

    @Override
    public byte[] encode(Object value) {
        if (value instanceof ClientReply) {
            return front.encode(value);
        }
        DatabaseReply reply = (DatabaseReply) value;
        PgWriter out = new PgWriter();
        out.text("mode").text(reply.mode()).end('S');
        out.text("wal_time").text(Long.toString(reply.millis())).end('S');
        out.text("stats").text(reply.stats()).end('S');
        if (reply.result() == AttemptResult.OK) {
            String text = reply.probe() ? reply.stats() : reply.value();
            byte[] row = text.getBytes(StandardCharsets.ISO_8859_1);
            out.row(row);
            out.text("SELECT 1").end('C');
        } else {
            String code =
                    switch (reply.result()) {
                        case INELIGIBLE_REPLICA -> reply.write() ? "25006" : "72000";
                        case REJECTED_OVERLOADED -> "53300";
                        default -> "XX000";
                    };
            out.bytes(("SERROR\0C" + code + "\0Memulated " + reply.result() + "\0\0")
                            .getBytes(StandardCharsets.ISO_8859_1))
                    .end('E');
        }
        return out.int8('I').end('Z').toBytes();
    }
}
