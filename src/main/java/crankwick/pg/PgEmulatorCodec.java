package crankwick.pg;

import crankwick.client.ClientReply;
import crankwick.database.EmulatedResponse;
import crankwick.routing.api.AttemptResult;
import crankwick.transport.CodecFilter;
import java.nio.charset.StandardCharsets;

/** A database's side of PostgreSQL's protocol, for emulated ones: reads as the listener does. */
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
        EmulatedResponse reply = (EmulatedResponse) value;
        PgWriter out = new PgWriter();
        out.text("mode").text(reply.mode()).end(PgProtocol.PARAMETER_STATUS);
        out.text("wal_time").text(Long.toString(reply.positionMillis())).end(PgProtocol.PARAMETER_STATUS);
        out.text("stats").text(reply.loadReport()).end(PgProtocol.PARAMETER_STATUS);
        if (reply.result() == AttemptResult.OK) {
            String text = reply.healthCheck() ? reply.loadReport() : reply.value();
            byte[] row = text.getBytes(StandardCharsets.ISO_8859_1);
            out.row(row);
            out.text("SELECT 1").end(PgProtocol.COMMAND_COMPLETE);
        } else {
            String code =
                    switch (reply.result()) {
                        case INELIGIBLE_REPLICA -> reply.write()
                                ? PgProtocol.READ_ONLY_TRANSACTION
                                : PgProtocol.SNAPSHOT_TOO_OLD;
                        case REJECTED_OVERLOADED -> PgProtocol.TOO_MANY_CONNECTIONS;
                        default -> PgProtocol.INTERNAL_ERROR;
                    };
            out.bytes(("SERROR\0C" + code + "\0Memulated " + reply.result() + "\0\0")
                            .getBytes(StandardCharsets.ISO_8859_1))
                    .end(PgProtocol.ERROR_RESPONSE);
        }
        return out.int8(PgProtocol.IDLE).end(PgProtocol.READY_FOR_QUERY).toBytes();
    }
}
