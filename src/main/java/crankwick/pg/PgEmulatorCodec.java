package crankwick.pg;

import crankwick.client.ClientReply;
import crankwick.database.EmulatedResponse;
import crankwick.routing.api.AttemptResult;
import crankwick.transport.CodecFilter;
import java.nio.charset.StandardCharsets;

/** Codec for emulated databases in PostgreSQL's protocol; decodes as {@link PgClientCodec} does. */
public final class PgEmulatorCodec extends CodecFilter {
    private final PgClientCodec clientCodec = new PgClientCodec();

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
        PgWriter out = new PgWriter();
        out.text("mode").text(response.mode()).endMessage(PgProtocol.PARAMETER_STATUS);
        out.text("wal_time").text(Long.toString(response.positionMillis())).endMessage(PgProtocol.PARAMETER_STATUS);
        out.text("stats").text(response.loadReport()).endMessage(PgProtocol.PARAMETER_STATUS);
        if (response.result() == AttemptResult.OK) {
            String text = response.healthCheck() ? response.loadReport() : response.value();
            byte[] row = text.getBytes(StandardCharsets.ISO_8859_1);
            out.row(row);
            out.text("SELECT 1").endMessage(PgProtocol.COMMAND_COMPLETE);
        } else {
            String code =
                    switch (response.result()) {
                        case INELIGIBLE_REPLICA -> response.write()
                                ? PgProtocol.READ_ONLY_TRANSACTION
                                : PgProtocol.SNAPSHOT_TOO_OLD;
                        case REJECTED_OVERLOADED -> PgProtocol.TOO_MANY_CONNECTIONS;
                        default -> PgProtocol.INTERNAL_ERROR;
                    };
            out.bytes(("SERROR\0C" + code + "\0Memulated " + response.result() + "\0\0")
                            .getBytes(StandardCharsets.ISO_8859_1))
                    .endMessage(PgProtocol.ERROR_RESPONSE);
        }
        return out.int8(PgProtocol.IDLE).endMessage(PgProtocol.READY_FOR_QUERY).toBytes();
    }
}
