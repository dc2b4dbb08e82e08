package crankwick.tds;

import crankwick.database.DatabaseCommand;
import crankwick.database.DatabaseMessage;
import crankwick.database.LoadReportCodec;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import crankwick.transport.CodecFilter;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;

/** The database's side of TDS: roles, positions and reports come as INFO facts. */
public final class TdsDatabaseCodec extends CodecFilter {
    private static final String USER = "crankwick";
    /** LOGIN7's fixed part; pairs of offset and length stand in it up to 72, the second is the user's. */
    private static final int LOGIN_FIXED_BYTES = 94;

    private static final int LOGIN_PAIRS = 9;
    private static final int LOGIN_PAIRS_END = 72;
    private static final int DONE_PROC = 0xFE;
    private static final int DONE_IN_PROC = 0xFF;
    private static final int DONE_BODY_BYTES = 12;
    private static final int ALL_HEADERS_BYTES = 22;
    private static final int TRANSACTION_HEADER_BYTES = 18;
    private static final int TRANSACTION_HEADER = 2;
    private static final int RETURN_STATUS = 0x79;
    /** Special values of the length of a value in chunks. */
    private static final long NULL_LENGTH = -1;

    private static final long UNKNOWN_LENGTH = -2;

    @Override
    protected Decoder newDecoder() {
        return new DatabaseDecoder();
    }

    /** How much of a response has been received. */
    private enum Stage {
        NOTHING,
        DESCRIBED,
        ROW,
        DONE
    }

    private static final class DatabaseDecoder extends TdsDecoder {
        private boolean preloggedIn;
        private boolean greeted;
        private boolean healthCheck;
        private Stage stage = Stage.NOTHING;
        private boolean rowSeen;
        private boolean loginAck;
        private int error;
        private boolean fatal;
        private int maxLength;
        private byte[] value;
        private Role role = Role.UNKNOWN;
        private long position = AbsentValue.NONE;
        private LoadReport report;

        @Override
        protected void onCommand(Object command) {
            super.onCommand(command);
            healthCheck = command instanceof DatabaseCommand.RequestLoadReport;
        }

        @Override
        protected void take(int type, ByteBuffer body, FilterChainContext context) {
            require(type == Tds.TABULAR_RESULT, "not a response");
            if (!preloggedIn) {
                preloggedIn = true;
                respond(context, login());
                return;
            }
            while (body.hasRemaining()) {
                require(stage != Stage.DONE, "a token behind the last one");
                token(body.get() & Tds.BYTE_MASK, body);
            }
            require(stage == Stage.DONE, "an answer without its end");
            if (!greeted && loginAck && error == 0) {
                greeted = true;
                clear();
                emitLast(new DatabaseMessage.ConnectionReady());
                return;
            }
            require(error != 0 || rowSeen != healthCheck, "an answer without its row");
            AttemptResult result = error == 0 ? AttemptResult.OK : result(error);
            var answer = new DatabaseMessage.Response(result, role, position, report, value, fatal || !greeted);
            clear();
            emitLast(answer);
        }

        private void token(int type, ByteBuffer body) {
            switch (type) {
                case Tds.COLMETADATA -> {
                    require(greeted && stage == Stage.NOTHING && error == 0, "columns out of place");
                    stage = Stage.DESCRIBED;
                    columns(body);
                }
                case Tds.ROW -> {
                    require(stage == Stage.DESCRIBED, "a row out of place");
                    stage = Stage.ROW;
                    rowSeen = true;
                    value = row(body);
                }
                case Tds.DONE, DONE_PROC, DONE_IN_PROC -> {
                    boolean more = (body.getShort() & Tds.DONE_MORE) != 0;
                    body.position(body.position() + DONE_BODY_BYTES - 2);
                    stage = more ? stage : Stage.DONE;
                }
                case RETURN_STATUS -> body.getInt();
                case Tds.ERROR, Tds.INFO, Tds.LOGINACK, Tds.ENVCHANGE -> {
                    int length = body.getShort() & Tds.SHORT_MASK;
                    ByteBuffer token = body.slice(body.position(), length).order(body.order());
                    body.position(body.position() + length);
                    loginAck |= type == Tds.LOGINACK;
                    if (type == Tds.ERROR || type == Tds.INFO) {
                        message(type, token);
                    }
                }
                default -> throw new IllegalArgumentException("unknown token " + type);
            }
        }

        private void message(int type, ByteBuffer token) {
            int number = token.getInt();
            token.get();
            int severity = token.get();
            String text = text(token, token.getShort() & Tds.SHORT_MASK);
            if (type == Tds.ERROR) {
                require(number != 0, "an error without a number");
                error = error == 0 ? number : error;
                fatal |= severity >= Tds.FATAL_SEVERITY;
            } else if (number == Tds.FACT_INFO) {
                int equals = text.indexOf('=');
                String content = text.substring(equals + 1);
                switch (text.substring(0, Math.max(0, equals))) {
                    case "mode" -> role = LoadReportCodec.parseRole(content);
                    case "wal_time" -> position = LoadReportCodec.parsePosition(content);
                    case "stats" -> report = LoadReportCodec.parse(content);
                    default -> {}
                }
            }
        }

        private void columns(ByteBuffer body) {
            require(body.getShort() == 1, "not one column");
            body.getInt();
            body.getShort();
            require((body.get() & Tds.BYTE_MASK) == Tds.VARBINARY, "not a varbinary");
            maxLength = body.getShort() & Tds.SHORT_MASK;
            text(body, body.get() & Tds.BYTE_MASK);
        }

        private byte[] row(ByteBuffer body) {
            if (maxLength != Tds.VARBINARY_MAX) {
                int length = body.getShort() & Tds.SHORT_MASK;
                return length == Tds.VARBINARY_MAX ? null : bytes(body, length);
            }
            long length = body.getLong();
            if (length == NULL_LENGTH) {
                return null;
            }
            ByteArrayOutputStream complete = new ByteArrayOutputStream();
            for (int chunk = body.getInt(); chunk != 0; chunk = body.getInt()) {
                complete.writeBytes(bytes(body, chunk));
            }
            require(length == complete.size() || length == UNKNOWN_LENGTH, "a value that does not fit its row");
            return complete.toByteArray();
        }

        private void clear() {
            stage = Stage.NOTHING;
            rowSeen = false;
            error = 0;
            fatal = false;
            value = null;
            role = Role.UNKNOWN;
            position = AbsentValue.NONE;
            report = null;
        }

        @Override
        protected Object protocolError(String fault) {
            return new DatabaseMessage.ProtocolError(fault);
        }

        private static void require(boolean holds, String fault) {
            if (!holds) {
                throw new IllegalArgumentException(fault);
            }
        }

        private static AttemptResult result(int number) {
            return switch (number) {
                case Tds.DATABASE_READ_ONLY, Tds.REPLICA_BEHIND -> AttemptResult.INELIGIBLE_REPLICA;
                case Tds.RESOURCE_LIMIT_REACHED, Tds.TOO_MANY_CONNECTIONS -> AttemptResult.REJECTED_OVERLOADED;
                default -> AttemptResult.ERROR;
            };
        }
    }

    /** LOGIN7 with a user and no more. */
    private static byte[] login() {
        int end = LOGIN_FIXED_BYTES + 2 * USER.length();
        TdsWriter out = new TdsWriter()
                .int32(end)
                .int32(Tds.VERSION)
                .int32(Tds.PACKET_BYTES)
                .int32(0)
                .int32(0)
                .int32(0)
                .int32(0)
                .int32(0)
                .int32(0);
        for (int pair = 0; pair < LOGIN_PAIRS; pair++) {
            out.int16(pair <= 1 ? LOGIN_FIXED_BYTES : end).int16(pair == 1 ? USER.length() : 0);
        }
        return out.bytes(new byte[LOGIN_FIXED_BYTES - LOGIN_PAIRS_END])
                .text(USER)
                .packets(Tds.LOGIN7);
    }

    @Override
    public byte[] encode(Object value) {
        if (value instanceof DatabaseCommand.Handshake) {
            return new TdsWriter().bytes(Tds.PRELOGIN_BODY).packets(Tds.PRELOGIN);
        }
        String text = value instanceof DatabaseCommand.Execute run ? run.text() : Tds.REPORT_QUERY;
        // ALL_HEADERS with the transaction descriptor that every batch must have: no transaction.
        return new TdsWriter()
                .int32(ALL_HEADERS_BYTES)
                .int32(TRANSACTION_HEADER_BYTES)
                .int16(TRANSACTION_HEADER)
                .int64(0)
                .int32(1)
                .text(text)
                .packets(Tds.SQL_BATCH);
    }
}
