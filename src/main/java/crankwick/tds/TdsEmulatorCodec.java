package crankwick.tds;

import crankwick.client.ClientReply;
import crankwick.database.EmulatedResponse;
import crankwick.routing.api.AttemptResult;
import crankwick.transport.CodecFilter;
import java.nio.charset.StandardCharsets;

/** Codec for emulated databases in TDS; decodes as {@link TdsClientCodec} does. */
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
        EmulatedResponse response = (EmulatedResponse) value;
        TdsWriter out = new TdsWriter();
        out.message(TdsProtocol.INFO, TdsProtocol.NAME_VALUE_INFO, 0, "mode=" + response.mode());
        out.message(TdsProtocol.INFO, TdsProtocol.NAME_VALUE_INFO, 0, "wal_time=" + response.positionMillis());
        out.message(TdsProtocol.INFO, TdsProtocol.NAME_VALUE_INFO, 0, "stats=" + response.loadReport());
        if (response.result() == AttemptResult.OK && !response.healthCheck()) {
            byte[] row = response.value().getBytes(StandardCharsets.ISO_8859_1);
            out.row(row);
            out.done(TdsProtocol.DONE_COUNT, 1);
        } else if (response.result() == AttemptResult.OK) {
            out.done(0, 0);
        } else {
            int number =
                    switch (response.result()) {
                        case INELIGIBLE_REPLICA -> response.write()
                                ? TdsProtocol.DATABASE_READ_ONLY
                                : TdsProtocol.REPLICA_BEHIND;
                        case REJECTED_OVERLOADED -> TdsProtocol.RESOURCE_LIMIT_REACHED;
                        default -> QUERY_ERROR;
                    };
            out.message(TdsProtocol.ERROR, number, TdsProtocol.ERROR_SEVERITY, "emulated " + response.result())
                    .done(TdsProtocol.DONE_ERROR, 0);
        }
        return out.toPackets(TdsProtocol.TABULAR_RESULT);
    }
}
