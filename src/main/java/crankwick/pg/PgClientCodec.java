package crankwick.pg;

import crankwick.broker.Reply;
import crankwick.client.ClientMessage;
import crankwick.client.ClientReply;
import crankwick.transport.CodecFilter;
import java.nio.ByteBuffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;

/** The client's side of PostgreSQL's protocol: no password, simple queries. */
public final class PgClientCodec extends CodecFilter {
    private static final int VERSION_3 = 3 << 16;
    private static final int SSL_REQUEST = 80877103;
    private static final int GSS_REQUEST = 80877104;
    private static final int CANCEL_REQUEST = 80877102;
    private static final int MAX_STARTUP = 10_000;
    private static final int MAX_MESSAGE = 192 * 1024;

    @Override
    protected Decoder newDecoder() {
        return new FrontDecoder();
    }

    private static final class FrontDecoder extends Decoder {
        private boolean started;

        @Override
        protected boolean decode(ByteBuffer in, FilterChainContext context) {
            return started ? command(in) : startup(in, context);
        }

        private boolean startup(ByteBuffer in, FilterChainContext context) {
            if (in.remaining() < 4) {
                return false;
            }
            int length = in.getInt();
            require(length >= 8 && length <= MAX_STARTUP, "unusable length of a startup message");
            if (in.remaining() < length - 4) {
                return false;
            }
            int code = in.getInt();
            in.position(in.position() + length - 8);
            if (code == SSL_REQUEST || code == GSS_REQUEST) {
                answer(context, new byte[] {'N'});
            } else if (code == CANCEL_REQUEST) {
                emit(new ClientMessage.Quit());
            } else {
                require(code >> 16 == VERSION_3 >> 16, "unknown version of the protocol");
                started = true;
                emit(new ClientMessage.Login(""));
            }
            return true;
        }

        private boolean command(ByteBuffer in) {
            if (in.remaining() < 5) {
                return false;
            }
            char type = (char) in.get();
            int length = in.getInt();
            require(type == 'Q' || type == 'X', "not a simple query");
            require(length >= 4 && length <= MAX_MESSAGE, "unusable length of a message");
            if (in.remaining() < length - 4) {
                return false;
            }
            byte[] body = new byte[length - 4];
            in.get(body);
            if (type == 'X') {
                emit(new ClientMessage.Quit());
                return true;
            }
            require(body.length > 0 && body[body.length - 1] == 0, "a query without its end");
            String text = new String(body, 0, body.length - 1, PgWriter.CHARSET);
            emit(text.isBlank() ? new ClientMessage.Empty() : new ClientMessage.Query(text));
            return true;
        }

        @Override
        protected int begun() {
            return 0;
        }

        @Override
        protected Object brokenBy(String fault) {
            return new ClientMessage.Broken(fault);
        }

        private static void require(boolean holds, String fault) {
            if (!holds) {
                throw new IllegalArgumentException(fault);
            }
        }
    }

    @Override
    public byte[] encode(Object value) {
        PgWriter out = new PgWriter();
        if (value instanceof ClientReply.Final f) {
            answer(out, f.reply());
        } else if (value instanceof ClientReply.Nothing) {
            out.end('I');
        } else if (value instanceof ClientReply.Unreadable u) {
            error(out, "ERROR", "42601", u.fault(), null);
        } else if (value instanceof ClientReply.Fatal f) {
            error(
                    out,
                    "FATAL",
                    switch (f.cause()) {
                        case TOO_MANY -> "53300";
                        case UNKNOWN_TEAM -> "28000";
                        case BROKEN -> "08P01";
                    },
                    f.fault(),
                    null);
            return out.toBytes();
        } else {
            out.int32(0).end('R');
            out.text("server_version").text("14.0 (crankwick)").end('S');
            out.text("client_encoding").text("UTF8").end('S');
        }
        return out.int8('I').end('Z').toBytes();
    }

    private static void answer(PgWriter out, Reply reply) {
        if (reply instanceof Reply.Served served) {
            out.row(served.value());
            out.text(served.write() ? "INSERT 0 1" : "SELECT 1").end('C');
        } else if (reply instanceof Reply.Rejected refused) {
            long millis = (refused.retryAfter() + 999) / 1_000;
            error(out, "ERROR", "53300", "refused: " + refused.reason(), millis > 0 ? Long.toString(millis) : null);
        } else if (reply instanceof Reply.Failed failed) {
            String code =
                    switch (failed.reason()) {
                        case CLASS_NOT_ALLOWED -> "42501";
                        case ID_IN_USE -> "42710";
                        default -> "58000";
                    };
            error(out, "ERROR", code, "failed: " + failed.reason(), null);
        }
    }

    private static void error(PgWriter out, String severity, String code, String message, String detail) {
        out.int8('S')
                .text(severity)
                .int8('V')
                .text(severity)
                .int8('C')
                .text(code)
                .int8('M')
                .text(message);
        if (detail != null) {
            out.int8('D').text(detail);
        }
        out.int8(0).end('E');
    }
}
