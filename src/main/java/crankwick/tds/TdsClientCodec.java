package crankwick.tds;

import crankwick.broker.Reply;
import crankwick.client.ClientMessage;
import crankwick.client.ClientReply;
import crankwick.routing.api.AbsentValue;
import crankwick.transport.CodecFilter;
import java.nio.ByteBuffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;

/**
 * Codec for client connections in TDS. Accepts logins without encryption, SQL batches and attentions (cancellations);
 * the user name of a login is the name of the team.
 */
public final class TdsClientCodec extends CodecFilter {
    /** The position in LOGIN7 of the user name's offset, which is followed by the user name's length in characters. */
    private static final int LOGIN_USER_OFFSET = 40;

    private static final int ENVCHANGE_DATABASE = 1;
    private static final int ENVCHANGE_PACKET_SIZE = 4;
    private static final int LOGINACK_SQL_INTERFACE = 1;

    @Override
    protected Decoder newDecoder() {
        return new ClientDecoder();
    }

    private static final class ClientDecoder extends TdsDecoder {
        private boolean loggedIn;

        @Override
        protected void onMessage(int type, ByteBuffer body, FilterChainContext context) {
            if (type == TdsProtocol.PRELOGIN && !loggedIn) {
                respondToNegotiation(
                        context,
                        new TdsWriter().bytes(TdsProtocol.PRELOGIN_BODY).toPackets(TdsProtocol.TABULAR_RESULT));
            } else if (type == TdsProtocol.LOGIN7 && !loggedIn) {
                loggedIn = true;
                int offset = body.getShort(LOGIN_USER_OFFSET) & TdsProtocol.SHORT_MASK;
                int chars = body.getShort(LOGIN_USER_OFFSET + 2) & TdsProtocol.SHORT_MASK;
                emit(new ClientMessage.Login(text(body.position(offset), chars)));
            } else if (type == TdsProtocol.SQL_BATCH && loggedIn) {
                body.position(body.getInt());
                String text = text(body, body.remaining() / 2);
                emit(text.isBlank() ? new ClientMessage.EmptyQuery() : new ClientMessage.Query(text));
            } else if (type == TdsProtocol.ATTENTION && loggedIn) {
                emit(new ClientMessage.Cancel());
            } else {
                throw new IllegalArgumentException("a message of type " + type + " out of place");
            }
        }

        @Override
        protected Object protocolError(String fault) {
            return new ClientMessage.ProtocolError(fault);
        }
    }

    @Override
    public byte[] encode(Object value) {
        TdsWriter out = new TdsWriter();
        if (value instanceof ClientReply.RequestReply requestReply) {
            writeReply(out, requestReply.reply());
        } else if (value instanceof ClientReply.EmptyQueryResponse) {
            out.done(0, 0);
        } else if (value instanceof ClientReply.CancelAcknowledged) {
            out.done(TdsProtocol.DONE_ATTENTION, 0);
        } else if (value instanceof ClientReply.InvalidStatement invalid) {
            writeError(out, TdsProtocol.INVALID_STATEMENT, invalid.fault());
        } else if (value instanceof ClientReply.ConnectionError connectionError) {
            int number =
                    switch (connectionError.cause()) {
                        case TOO_MANY_CONNECTIONS -> TdsProtocol.TOO_MANY_CONNECTIONS;
                        case UNKNOWN_TEAM -> TdsProtocol.LOGIN_FAILED;
                        case PROTOCOL_ERROR -> TdsProtocol.PROTOCOL_ERROR;
                    };
            out.message(TdsProtocol.ERROR, number, TdsProtocol.FATAL_SEVERITY, connectionError.fault())
                    .done(TdsProtocol.DONE_ERROR, 0);
        } else {
            String size = Integer.toString(TdsProtocol.PACKET_BYTES);
            out.token(
                    TdsProtocol.ENVCHANGE,
                    new TdsWriter().int8(ENVCHANGE_DATABASE).shortText("core").shortText(""));
            out.token(
                    TdsProtocol.ENVCHANGE,
                    new TdsWriter().int8(ENVCHANGE_PACKET_SIZE).shortText(size).shortText(size));
            out.token(
                    TdsProtocol.LOGINACK,
                    new TdsWriter()
                            .int8(LOGINACK_SQL_INTERFACE)
                            .int32(Integer.reverseBytes(TdsProtocol.VERSION))
                            .shortText("crankwick")
                            .int32(0));
            out.done(0, 0);
        }
        return out.toPackets(TdsProtocol.TABULAR_RESULT);
    }

    private static void writeReply(TdsWriter out, Reply reply) {
        if (reply instanceof Reply.Served served) {
            if (served.position() != AbsentValue.NONE) {
                long millis = Math.floorDiv(
                        served.position() + (TdsProtocol.MICROS_PER_MILLI - 1), (long) TdsProtocol.MICROS_PER_MILLI);
                out.message(TdsProtocol.INFO, TdsProtocol.NAME_VALUE_INFO, 0, "wal_time=" + millis);
            }
            out.row(served.value());
            out.done(TdsProtocol.DONE_COUNT, 1);
        } else if (reply instanceof Reply.Rejected rejected) {
            if (rejected.retryAfter() > 0) {
                out.message(
                        TdsProtocol.INFO,
                        TdsProtocol.NAME_VALUE_INFO,
                        0,
                        "retry_after="
                                + (rejected.retryAfter() + (TdsProtocol.MICROS_PER_MILLI - 1))
                                        / TdsProtocol.MICROS_PER_MILLI);
            }
            writeError(
                    out,
                    switch (rejected.reason()) {
                        case OVER_RATE -> TdsProtocol.REJECTED_OVER_RATE;
                        case OVER_OUTSTANDING -> TdsProtocol.REJECTED_OVER_OUTSTANDING;
                        case NO_PRIMARY -> TdsProtocol.REJECTED_NO_PRIMARY;
                        case OVER_KEYS -> TdsProtocol.REJECTED_OVER_KEYS;
                        case OVER_OPEN_COMMANDS -> TdsProtocol.REJECTED_OVER_OPEN_COMMANDS;
                        default -> TdsProtocol.REJECTED_GIVEN_UP;
                    },
                    "refused: " + rejected.reason());
        } else if (reply instanceof Reply.Failed failed) {
            writeError(
                    out,
                    switch (failed.reason()) {
                        case CLASS_NOT_ALLOWED -> TdsProtocol.FAILED_CLASS_NOT_ALLOWED;
                        case GIVEN_UP -> TdsProtocol.FAILED_GIVEN_UP;
                        case ID_IN_USE -> TdsProtocol.FAILED_ID_IN_USE;
                        case KEY_IN_DOUBT -> TdsProtocol.FAILED_KEY_IN_DOUBT;
                        default -> TdsProtocol.FAILED_NO_OUTCOME;
                    },
                    "failed: " + failed.reason());
        }
    }

    private static void writeError(TdsWriter out, int number, String text) {
        out.message(TdsProtocol.ERROR, number, TdsProtocol.ERROR_SEVERITY, text).done(TdsProtocol.DONE_ERROR, 0);
    }
}
