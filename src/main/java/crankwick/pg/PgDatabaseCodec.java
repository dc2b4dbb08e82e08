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
 * Codec for database connections in PostgreSQL's protocol. A response is accepted only in this sequence:
 * RowDescription, one DataRow, CommandComplete, ReadyForQuery. Before CommandComplete, an ErrorResponse may replace the
 * rest up to ReadyForQuery; if it is fatal or belongs to the handshake, it ends the response. ParameterStatus and
 * NoticeResponse may occur anywhere.
 *
 * <p>Behind each response the codec sends an empty query. Databases answer queries in order and send nothing between
 * answers, so the response is known to be the last input of its command once EmptyQueryResponse has arrived, however
 * late a database writes or the network delivers a copy of the response.
 */
public final class PgDatabaseCodec extends CodecFilter {
    private static final int MAX_MESSAGE_BYTES = 128 * 1024;
    /** The length of the fields after a column's name: table, column, type, size, modifier and format. */
    private static final int COLUMN_ATTRIBUTES_BYTES = 18;

    private static final byte[] EMPTY_QUERY =
            new PgWriter().text("").endMessage(PgProtocol.QUERY).toBytes();

    /** How much of a response has been received. */
    private enum Stage {
        NOT_STARTED,
        ROW_DESCRIBED,
        ROW_RECEIVED,
        COMPLETE
    }

    @Override
    protected Decoder newDecoder() {
        return new DatabaseDecoder();
    }

    private static final class DatabaseDecoder extends Decoder {
        private boolean handshakeComplete;
        private boolean healthCheck;
        /** Whether an empty query has been sent whose answer is not complete. */
        private boolean synchronizing;

        private boolean emptyQueryAnswered;
        private Stage stage = Stage.NOT_STARTED;
        private boolean responseStarted;
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
            responseStarted = true;
            ByteBuffer fields = ByteBuffer.wrap(body);
            onMessage(type, fields, context);
            require(!fields.hasRemaining(), "extra bytes after the fields of message type " + type);
            return true;
        }

        private void onMessage(char type, ByteBuffer body, FilterChainContext context) {
            switch (type) {
                case PgProtocol.PARAMETER_STATUS -> onParameter(text(body), text(body));
                case PgProtocol.NOTICE_RESPONSE -> body.position(body.limit());
                case PgProtocol.AUTHENTICATION -> require(
                        !handshakeComplete && body.getInt() == 0, "unsupported or unexpected authentication request");
                case PgProtocol.BACKEND_KEY_DATA -> {
                    require(!handshakeComplete, "BackendKeyData after the handshake");
                    body.getLong();
                }
                case PgProtocol.ROW_DESCRIPTION -> {
                    advance(Stage.NOT_STARTED, Stage.ROW_DESCRIBED, type);
                    require(body.getShort() == 1, "RowDescription without exactly one column");
                    text(body);
                    body.position(body.position() + COLUMN_ATTRIBUTES_BYTES);
                }
                case PgProtocol.DATA_ROW -> {
                    advance(Stage.ROW_DESCRIBED, Stage.ROW_RECEIVED, type);
                    readRow(body);
                }
                case PgProtocol.COMMAND_COMPLETE -> {
                    advance(Stage.ROW_RECEIVED, Stage.COMPLETE, type);
                    require(!text(body).isEmpty(), "CommandComplete with an empty command tag");
                }
                case PgProtocol.EMPTY_QUERY_RESPONSE -> {
                    require(synchronizing && !emptyQueryAnswered, "EmptyQueryResponse not expected at this point");
                    emptyQueryAnswered = true;
                }
                case PgProtocol.ERROR_RESPONSE -> {
                    require(!synchronizing, "ErrorResponse after the end of the response");
                    require(error == null && stage != Stage.COMPLETE, "ErrorResponse after the end of the response");
                    if (readError(body) || !handshakeComplete) {
                        emitResponse(true);
                    }
                }
                case PgProtocol.READY_FOR_QUERY -> {
                    require(body.get() == PgProtocol.IDLE, "ReadyForQuery with an open transaction");
                    onReadyForQuery(context);
                }
                default -> throw new IllegalArgumentException("unknown message type");
            }
        }

        private void onReadyForQuery(FilterChainContext context) {
            if (!handshakeComplete) {
                handshakeComplete = true;
                clear();
                emitLast(new DatabaseMessage.ConnectionReady());
            } else if (synchronizing) {
                require(emptyQueryAnswered, "ReadyForQuery after the end of the response");
                synchronizing = false;
                emptyQueryAnswered = false;
                clear();
                emitLast(new DatabaseMessage.Synchronized());
            } else {
                require(error != null || stage == Stage.COMPLETE, "ReadyForQuery before the end of the response");
                emitResponse(false);
                synchronizing = true;
                respond(context, EMPTY_QUERY);
            }
        }

        private void advance(Stage expected, Stage next, char type) {
            require(
                    handshakeComplete && !synchronizing && stage == expected && error == null,
                    type + " message not expected at this point");
            stage = next;
        }

        private void onParameter(String name, String content) {
            switch (name) {
                case "mode" -> role = LoadReportCodec.parseRole(content);
                case "wal_time" -> position = LoadReportCodec.parsePosition(content);
                case "stats" -> report = LoadReportCodec.parse(content);
                default -> {}
            }
        }

        private void readRow(ByteBuffer body) {
            require(body.getShort() == 1, "DataRow without exactly one value");
            int length = body.getInt();
            require(
                    length == body.remaining() || length == -1 && !body.hasRemaining(),
                    "value length does not match the length of the DataRow");
            value = length < 0 ? null : new byte[length];
            if (value != null) {
                body.get(value);
            }
        }

        /** Stores the SQLSTATE of an ErrorResponse; returns true if the error's severity ends the connection. */
        private boolean readError(ByteBuffer body) {
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
            require(error.length() == PgProtocol.SQLSTATE_LENGTH, "ErrorResponse without a five-character SQLSTATE");
            return fatal;
        }

        private void emitResponse(boolean last) {
            if (healthCheck && value != null) {
                report = LoadReportCodec.parse(new String(value, PgWriter.CHARSET));
            }
            AttemptResult result = error != null ? resultOf(error) : AttemptResult.OK;
            var response = new DatabaseMessage.Response(result, role, position, report, value, last);
            clear();
            if (last) {
                emitLast(response);
            } else {
                emit(response);
            }
        }

        private void clear() {
            responseStarted = false;
            stage = Stage.NOT_STARTED;
            error = null;
            value = null;
            role = Role.UNKNOWN;
            position = AbsentValue.NONE;
            report = null;
        }

        @Override
        protected int partialBytes() {
            if (!responseStarted) {
                return synchronizing ? 1 : 0;
            }
            return value == null ? 1 : value.length + 1;
        }

        @Override
        protected int expectedBytes(ByteBuffer rest) {
            return Math.max(PgProtocol.messageBytes(rest), partialBytes());
        }

        @Override
        protected Object protocolError(String fault) {
            return new DatabaseMessage.ProtocolError(fault);
        }

        private static AttemptResult resultOf(String code) {
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

        private static void require(boolean condition, String fault) {
            if (!condition) {
                throw new IllegalArgumentException(fault);
            }
        }
    }

    @Override
    public byte[] encode(Object value) {
        PgWriter out = new PgWriter();
        if (value instanceof DatabaseCommand.Execute execute) {
            return out.text(execute.text()).endMessage(PgProtocol.QUERY).toBytes();
        }
        if (value instanceof DatabaseCommand.RequestLoadReport) {
            return out.text("SHOW stats").endMessage(PgProtocol.QUERY).toBytes();
        }
        return out.int32(PgProtocol.VERSION_3)
                .text("user")
                .text("crankwick")
                .text("database")
                .text("core")
                .int8(0)
                .endMessage()
                .toBytes();
    }
}
