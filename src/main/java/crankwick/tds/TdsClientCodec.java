package crankwick.tds;

import crankwick.broker.Reply;
import crankwick.client.ClientMessage;
import crankwick.client.ClientReply;
import crankwick.routing.api.AbsentValue;
import crankwick.transport.CodecFilter;
import java.nio.ByteBuffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;

/** The client's side of TDS: no encryption, SQL batches, attentions; the login's user names the team. */
public final class TdsClientCodec extends CodecFilter {
    /** Where LOGIN7 has the offset and the length of the user's name. */
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
        protected void take(int type, ByteBuffer body, FilterChainContext context) {
            if (type == Tds.PRELOGIN && !loggedIn) {
                respond(context, new TdsWriter().bytes(Tds.PRELOGIN_BODY).packets(Tds.TABULAR_RESULT));
            } else if (type == Tds.LOGIN7 && !loggedIn) {
                loggedIn = true;
                int from = body.getShort(LOGIN_USER_OFFSET) & Tds.SHORT_MASK;
                int chars = body.getShort(LOGIN_USER_OFFSET + 2) & Tds.SHORT_MASK;
                emit(new ClientMessage.Login(text(body.position(from), chars)));
            } else if (type == Tds.SQL_BATCH && loggedIn) {
                body.position(body.getInt());
                String text = text(body, body.remaining() / 2);
                emit(text.isBlank() ? new ClientMessage.EmptyQuery() : new ClientMessage.Query(text));
            } else if (type == Tds.ATTENTION && loggedIn) {
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
        if (value instanceof ClientReply.RequestReply f) {
            writeReply(out, f.reply());
        } else if (value instanceof ClientReply.EmptyQueryResponse) {
            out.done(0, 0);
        } else if (value instanceof ClientReply.CancelAcknowledged) {
            out.done(Tds.DONE_ATTENTION, 0);
        } else if (value instanceof ClientReply.InvalidStatement u) {
            writeError(out, Tds.UNREADABLE, u.fault());
        } else if (value instanceof ClientReply.ConnectionError f) {
            int number =
                    switch (f.cause()) {
                        case TOO_MANY_CONNECTIONS -> Tds.TOO_MANY_CONNECTIONS;
                        case UNKNOWN_TEAM -> Tds.LOGIN_FAILED;
                        case PROTOCOL_ERROR -> Tds.PROTOCOL_ERROR;
                    };
            out.message(Tds.ERROR, number, Tds.FATAL_SEVERITY, f.fault()).done(Tds.DONE_ERROR, 0);
        } else {
            String size = Integer.toString(Tds.PACKET_BYTES);
            out.token(
                    Tds.ENVCHANGE,
                    new TdsWriter().int8(ENVCHANGE_DATABASE).shortText("core").shortText(""));
            out.token(
                    Tds.ENVCHANGE,
                    new TdsWriter().int8(ENVCHANGE_PACKET_SIZE).shortText(size).shortText(size));
            out.token(
                    Tds.LOGINACK,
                    new TdsWriter()
                            .int8(LOGINACK_SQL_INTERFACE)
                            .int32(Integer.reverseBytes(Tds.VERSION))
                            .shortText("crankwick")
                            .int32(0));
            out.done(0, 0);
        }
        return out.packets(Tds.TABULAR_RESULT);
    }

    private static void writeReply(TdsWriter out, Reply reply) {
        if (reply instanceof Reply.Served served) {
            if (served.position() != AbsentValue.NONE) {
                long millis =
                        Math.floorDiv(served.position() + (Tds.MICROS_PER_MILLI - 1), (long) Tds.MICROS_PER_MILLI);
                out.message(Tds.INFO, Tds.FACT_INFO, 0, "wal_time=" + millis);
            }
            out.row(served.value());
            out.done(Tds.DONE_COUNT, 1);
        } else if (reply instanceof Reply.Rejected rejected) {
            if (rejected.retryAfter() > 0) {
                out.message(
                        Tds.INFO,
                        Tds.FACT_INFO,
                        0,
                        "retry_after=" + (rejected.retryAfter() + (Tds.MICROS_PER_MILLI - 1)) / Tds.MICROS_PER_MILLI);
            }
            writeError(
                    out,
                    switch (rejected.reason()) {
                        case OVER_RATE -> Tds.REJECTED_OVER_RATE;
                        case OVER_OUTSTANDING -> Tds.REJECTED_OVER_OUTSTANDING;
                        case NO_PRIMARY -> Tds.REJECTED_NO_PRIMARY;
                        case OVER_KEYS -> Tds.REJECTED_OVER_KEYS;
                        case OVER_OPEN_COMMANDS -> Tds.REJECTED_OVER_OPEN_COMMANDS;
                        default -> Tds.REJECTED_GIVEN_UP;
                    },
                    "refused: " + rejected.reason());
        } else if (reply instanceof Reply.Failed failed) {
            writeError(
                    out,
                    switch (failed.reason()) {
                        case CLASS_NOT_ALLOWED -> Tds.FAILED_CLASS;
                        case GIVEN_UP -> Tds.FAILED_GIVEN_UP;
                        case ID_IN_USE -> Tds.FAILED_ID_IN_USE;
                        case KEY_IN_DOUBT -> Tds.FAILED_KEY_IN_DOUBT;
                        default -> Tds.FAILED_NO_OUTCOME;
                    },
                    "failed: " + failed.reason());
        }
    }

    private static void writeError(TdsWriter out, int number, String text) {
        out.message(Tds.ERROR, number, Tds.ERROR_SEVERITY, text).done(Tds.DONE_ERROR, 0);
    }
}
