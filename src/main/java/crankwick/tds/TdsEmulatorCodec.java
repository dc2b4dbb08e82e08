package crankwick.tds;

import crankwick.client.ClientReply;
import crankwick.database.EmulatedResponse;
import crankwick.routing.api.AttemptResult;
import crankwick.transport.CodecFilter;
import java.nio.charset.StandardCharsets;

/** A database's side of TDS, for emulated ones: reads as the listener does. */
public final class TdsEmulatorCodec extends CodecFilter {
    private static final int QUERY_ERROR = 8650;

    private final TdsClientCodec clientCodec = new TdsClientCodec();

    @Override
    protected Decoder newDecoder() {
        return clientCodec.newDecoder();
    }

    @Override
    public byte[] encode(Object value) {
        if (value instanceof ClientReply) {
            return clientCodec.encode(value);
        }
        EmulatedResponse reply = (EmulatedResponse) value;
        TdsWriter out = new TdsWriter();
        out.message(Tds.INFO, Tds.FACT_INFO, 0, "mode=" + reply.mode());
        out.message(Tds.INFO, Tds.FACT_INFO, 0, "wal_time=" + reply.positionMillis());
        out.message(Tds.INFO, Tds.FACT_INFO, 0, "stats=" + reply.loadReport());
        if (reply.result() == AttemptResult.OK && !reply.healthCheck()) {
            byte[] row = reply.value().getBytes(StandardCharsets.ISO_8859_1);
            out.row(row);
            out.done(Tds.DONE_COUNT, 1);
        } else if (reply.result() == AttemptResult.OK) {
            out.done(0, 0);
        } else {
            int number =
                    switch (reply.result()) {
                        case INELIGIBLE_REPLICA -> reply.write() ? Tds.DATABASE_READ_ONLY : Tds.REPLICA_BEHIND;
                        case REJECTED_OVERLOADED -> Tds.RESOURCE_LIMIT_REACHED;
                        default -> QUERY_ERROR;
                    };
            out.message(Tds.ERROR, number, Tds.ERROR_SEVERITY, "emulated " + reply.result())
                    .done(Tds.DONE_ERROR, 0);
        }
        return out.packets(Tds.TABULAR_RESULT);
    }
}
