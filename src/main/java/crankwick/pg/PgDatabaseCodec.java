package crankwick.pg;

import crankwick.database.DatabaseCommand;
import crankwick.database.DatabaseMessage;
import crankwick.database.LoadReportCodec;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import crankwick.transport.CodecFilter;
import java.nio.ByteBuffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;

/**
 * The database's side of PostgreSQL's protocol. A response is accepted only in its exact sequence: a row's
 * description, one row and the command's completion, or an error; then the connection is ready. Parameters
 * and notices may stand between.
 */
public final class PgDatabaseCodec extends CodecFilter {
    private static final int MAX_MESSAGE_BYTES = 128 * 1024;
    /** What follows a column's name: table, column, type, size, modifier, format. */
    private static final int COLUMN_ATTRIBUTES_BYTES = 18;

    /** How much of a response has been received. */
    private enum Stage {
        NOTHING,
        DESCRIBED,
        ROW,
        DONE
    }

    @Override
    protected Decoder newDecoder() {
        return new DatabaseDecoder();
    }

    private static final class DatabaseDecoder extends Decoder {
        private boolean greeted;
        private boolean healthCheck;
        private Stage stage = Stage.NOTHING;
        private boolean partialBytes;
        private String error;
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
        protected boolean decode(ByteBuffer in, FilterChainContext context) {
            if (in.remaining() < PgProtocol.HEADER_BYTES) {
                return false;
            }
            char type = (char) in.get();
            int length = in.getInt();
            require(length >= PgProtocol.LENGTH_BYTES && length <= MAX_MESSAGE_BYTES, "unusable length of a message");
            if (in.remaining() < length - PgProtocol.LENGTH_BYTES) {
                return false;
            }
            byte[] body = new byte[length - PgProtocol.LENGTH_BYTES];
            in.get(body);
            partialBytes = true;
            ByteBuffer fields = ByteBuffer.wrap(body);
            take(type, fields);
            require(!fields.hasRemaining(), "more than its fields in " + type);
            return true;
        }

        private void take(char type, ByteBuffer body) {
            switch (type) {
                case PgProtocol.PARAMETER_STATUS -> parameter(text(body), text(body));
                case PgProtocol.NOTICE_RESPONSE -> body.position(body.limit());
                case PgProtocol.AUTHENTICATION -> require(!greeted && body.getInt() == 0, "a password is wanted");
                case PgProtocol.BACKEND_KEY_DATA -> {
                    require(!greeted, "a key out of place");
                    body.getLong();
                }
                case PgProtocol.ROW_DESCRIPTION -> {
                    advance(Stage.NOTHING, Stage.DESCRIBED, type);
                    require(body.getShort() == 1, "not one column");
                    text(body);
                    body.position(body.position() + COLUMN_ATTRIBUTES_BYTES);
                }
                case PgProtocol.DATA_ROW -> {
                    advance(Stage.DESCRIBED, Stage.ROW, type);
                    row(body);
                }
                case PgProtocol.COMMAND_COMPLETE -> {
                    advance(Stage.ROW, Stage.DONE, type);
                    require(!text(body).isEmpty(), "no command is complete");
                }
                case PgProtocol.ERROR_RESPONSE -> {
                    require(error == null && stage != Stage.DONE, "an error out of place");
                    if (error(body) || !greeted) {
                        answered(true);
                    }
                }
                case PgProtocol.READY_FOR_QUERY -> {
                    require(body.get() == PgProtocol.IDLE, "a transaction");
                    if (greeted) {
                        require(error != null || stage == Stage.DONE, "ready without an answer");
                        answered(false);
                    } else {
                        greeted = true;
                        clear();
                        emitLast(new DatabaseMessage.ConnectionReady());
                    }
                }
                default -> throw new IllegalArgumentException("an unknown message");
            }
        }

        private void advance(Stage from, Stage to, char type) {
            require(greeted && stage == from && error == null, type + " out of place");
            stage = to;
        }

        private void parameter(String name, String content) {
            switch (name) {
                case "mode" -> role = LoadReportCodec.parseRole(content);
                case "wal_time" -> position = LoadReportCodec.parsePosition(content);
                case "stats" -> report = LoadReportCodec.parse(content);
                default -> {}
            }
        }

        private void row(ByteBuffer body) {
            require(body.getShort() == 1, "not one value");
            int length = body.getInt();
            require(
                    length == body.remaining() || length == -1 && !body.hasRemaining(),
                    "a value that does not fit its row");
            value = length < 0 ? null : new byte[length];
            if (value != null) {
                body.get(value);
            }
        }

        /** Keeps the code; true if the connection ends with it. */
        private boolean error(ByteBuffer body) {
            boolean fatal = false;
            error = "";
            for (byte field = body.get(); field != 0; field = body.get()) {
                String content = text(body);
                if (field == PgProtocol.FIELD_SQLSTATE) {
                    error = content;
                } else if (field == PgProtocol.FIELD_SEVERITY || field == PgProtocol.FIELD_SEVERITY_NONLOCALIZED) {
                    fatal |= content.equals(PgProtocol.SEVERITY_FATAL) || content.equals(PgProtocol.SEVERITY_PANIC);
                }
            }
            require(error.length() == PgProtocol.SQLSTATE_LENGTH, "an error without a code");
            return fatal;
        }

        private void answered(boolean last) {
            if (healthCheck && value != null) {
                report = LoadReportCodec.parse(new String(value, PgWriter.CHARSET));
            }
            AttemptResult result = error != null ? result(error) : AttemptResult.OK;
            var answer = new DatabaseMessage.Response(result, role, position, report, value, last);
            clear();
            emitLast(answer);
        }

        private void clear() {
            partialBytes = false;
            stage = Stage.NOTHING;
            error = null;
            value = null;
            role = Role.UNKNOWN;
            position = AbsentValue.NONE;
            report = null;
        }

        @Override
        protected int partialBytes() {
            return !partialBytes ? 0 : value == null ? 1 : value.length + 1;
        }

        @Override
        protected Object protocolError(String fault) {
            return new DatabaseMessage.ProtocolError(fault);
        }

        private static AttemptResult result(String code) {
            return switch (code) {
                case PgProtocol.READ_ONLY_TRANSACTION, PgProtocol.SNAPSHOT_TOO_OLD -> AttemptResult.INELIGIBLE_REPLICA;
                case PgProtocol.TOO_MANY_CONNECTIONS, PgProtocol.CANNOT_CONNECT_NOW -> AttemptResult
                        .REJECTED_OVERLOADED;
                default -> AttemptResult.ERROR;
            };
        }

        private static String text(ByteBuffer body) {
            int start = body.position();
            while (body.get() != 0) {
                continue;
            }
            return new String(body.array(), start, body.position() - 1 - start, PgWriter.CHARSET);
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
        if (value instanceof DatabaseCommand.Execute run) {
            return out.text(run.text()).end(PgProtocol.QUERY).toBytes();
        }
        if (value instanceof DatabaseCommand.RequestLoadReport) {
            return out.text("SHOW stats").end(PgProtocol.QUERY).toBytes();
        }
        return out.int32(PgProtocol.VERSION_3)
                .text("user")
                .text("crankwick")
                .text("database")
                .text("core")
                .int8(0)
                .end()
                .toBytes();
    }
}
