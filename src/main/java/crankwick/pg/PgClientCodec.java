package crankwick.pg;

import crankwick.broker.Reply;
import crankwick.client.ClientMessage;
import crankwick.client.ClientReply;
import crankwick.transport.CodecFilter;
import java.nio.ByteBuffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;

/** Codec for client connections in PostgreSQL's protocol: logins without a password, simple queries only. */
public final class PgClientCodec extends CodecFilter {
    private static final int SSL_REQUEST = 80877103;
    private static final int GSS_REQUEST = 80877104;
    private static final int CANCEL_REQUEST = 80877102;
    /** The bytes of a startup message's length field and code. */
    private static final int STARTUP_HEADER_BYTES = 8;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final int MAX_STARTUP_BYTES = 10_000;
    private static final int MAX_MESSAGE_BYTES = 192 * 1024;

    @Override
    protected Decoder newDecoder() {
        return new ClientDecoder();
    }

    private static final class ClientDecoder extends Decoder {
        private boolean startupReceived;

        @Override
        protected boolean decode(ByteBuffer in, FilterChainContext context) {
            return startupReceived ? decodeCommand(in) : decodeStartup(in, context);
        }

        private boolean decodeStartup(ByteBuffer in, FilterChainContext context) {
            if (in.remaining() < PgProtocol.LENGTH_BYTES) {
                return false;
            }
            int length = in.getInt();
            require(
                    length >= STARTUP_HEADER_BYTES && length <= MAX_STARTUP_BYTES,
                    "unusable length of a startup message");
            if (in.remaining() < length - PgProtocol.LENGTH_BYTES) {
                return false;
            }
            int code = in.getInt();
            in.position(in.position() + length - STARTUP_HEADER_BYTES);
            if (code == SSL_REQUEST || code == GSS_REQUEST) {
                respondToNegotiation(context, new byte[] {PgProtocol.ENCRYPTION_REJECTED});
            } else if (code == CANCEL_REQUEST) {
                emit(new ClientMessage.Terminate());
            } else {
                require(
                        code >> PgProtocol.VERSION_MAJOR_SHIFT
                                == PgProtocol.VERSION_3 >> PgProtocol.VERSION_MAJOR_SHIFT,
                        "unknown version of the protocol");
                startupReceived = true;
                emit(new ClientMessage.Login(""));
            }
            return true;
        }

        private boolean decodeCommand(ByteBuffer in) {
            if (in.remaining() < PgProtocol.HEADER_BYTES) {
                return false;
            }
            char type = (char) in.get();
            int length = in.getInt();
            require(type == PgProtocol.QUERY || type == PgProtocol.TERMINATE, "not a simple query");
            require(length >= PgProtocol.LENGTH_BYTES && length <= MAX_MESSAGE_BYTES, "unusable length of a message");
            if (in.remaining() < length - PgProtocol.LENGTH_BYTES) {
                return false;
            }
            byte[] body = new byte[length - PgProtocol.LENGTH_BYTES];
            in.get(body);
            if (type == PgProtocol.TERMINATE) {
                emit(new ClientMessage.Terminate());
                return true;
            }
            require(body.length > 0 && body[body.length - 1] == 0, "a query without its end");
            String text = new String(body, 0, body.length - 1, PgWriter.CHARSET);
            emit(text.isBlank() ? new ClientMessage.EmptyQuery() : new ClientMessage.Query(text));
            return true;
        }

        @Override
        protected int partialBytes() {
            return 0;
        }

        @Override
        protected int expectedBytes(ByteBuffer rest) {
            return startupReceived ? PgProtocol.messageBytes(rest) : rest.remaining();
        }

        @Override
        protected Object protocolError(String fault) {
            return new ClientMessage.ProtocolError(fault);
        }

        private static void require(boolean condition, String fault) {
            if (!condition) {
                throw new IllegalArgumentException(fault);
            }
        }
    }

    @Override
    public byte[] encode(Object value) {
        PgWriter out = new PgWriter();
        if (value instanceof ClientReply.RequestReply requestReply) {
            writeReply(out, requestReply.reply());
        } else if (value instanceof ClientReply.EmptyQueryResponse) {
            out.endMessage(PgProtocol.EMPTY_QUERY_RESPONSE);
        } else if (value instanceof ClientReply.InvalidStatement invalid) {
            writeError(out, PgProtocol.SEVERITY_ERROR, PgProtocol.SYNTAX_ERROR, invalid.fault(), null);
        } else if (value instanceof ClientReply.ConnectionError connectionError) {
            writeError(
                    out,
                    PgProtocol.SEVERITY_FATAL,
                    switch (connectionError.cause()) {
                        case TOO_MANY_CONNECTIONS -> PgProtocol.TOO_MANY_CONNECTIONS;
                        case UNKNOWN_TEAM -> PgProtocol.INVALID_AUTHORIZATION;
                        case PROTOCOL_ERROR -> PgProtocol.PROTOCOL_VIOLATION;
                    },
                    connectionError.fault(),
                    null);
            return out.toBytes();
        } else {
            out.int32(0).endMessage(PgProtocol.AUTHENTICATION);
            out.text("server_version").text("14.0 (crankwick)").endMessage(PgProtocol.PARAMETER_STATUS);
            out.text("client_encoding").text("UTF8").endMessage(PgProtocol.PARAMETER_STATUS);
        }
        return out.int8(PgProtocol.IDLE).endMessage(PgProtocol.READY_FOR_QUERY).toBytes();
    }

    private static void writeReply(PgWriter out, Reply reply) {
        if (reply instanceof Reply.Served served) {
            out.row(served.value());
            out.text(served.write() ? "INSERT 0 1" : "SELECT 1").endMessage(PgProtocol.COMMAND_COMPLETE);
        } else if (reply instanceof Reply.Rejected rejected) {
            long millis = (rejected.retryAfter() + (MICROS_PER_MILLI - 1)) / MICROS_PER_MILLI;
            writeError(
                    out,
                    PgProtocol.SEVERITY_ERROR,
                    PgProtocol.TOO_MANY_CONNECTIONS,
                    "refused: " + rejected.reason(),
                    millis > 0 ? Long.toString(millis) : null);
        } else if (reply instanceof Reply.Failed failed) {
            String code =
                    switch (failed.reason()) {
                        case CLASS_NOT_ALLOWED -> PgProtocol.INSUFFICIENT_PRIVILEGE;
                        case ID_IN_USE -> PgProtocol.DUPLICATE_OBJECT;
                        default -> PgProtocol.SYSTEM_ERROR;
                    };
            writeError(out, PgProtocol.SEVERITY_ERROR, code, "failed: " + failed.reason(), null);
        }
    }

    private static void writeError(PgWriter out, String severity, String code, String message, String detail) {
        out.int8(PgProtocol.FIELD_SEVERITY)
                .text(severity)
                .int8(PgProtocol.FIELD_SEVERITY_NONLOCALIZED)
                .text(severity)
                .int8(PgProtocol.FIELD_SQLSTATE)
                .text(code)
                .int8(PgProtocol.FIELD_MESSAGE)
                .text(message);
        if (detail != null) {
            out.int8(PgProtocol.FIELD_DETAIL).text(detail);
        }
        out.int8(0).endMessage(PgProtocol.ERROR_RESPONSE);
    }
}
