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

/**
 * Codec for database connections in TDS. Roles, replication positions and load reports arrive as {@code name=value}
 * in INFO tokens.
 *
 * <p>Behind each response the codec sends an empty batch, which a database answers with DONE alone. Databases answer
 * batches in order and send nothing between answers, so the response is known to be the last input of its command once
 * that answer has arrived, however late a database writes or the network delivers a copy of the response.
 */
public final class TdsDatabaseCodec extends CodecFilter {
    private static final String USER = "crankwick";
    /**
     * The length of LOGIN7's fixed part. Its pairs of offset and length end at byte 72; the second pair is the user
     * name's.
     */
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
    /**
     * Special values of the length of a value that is sent in chunks: NULL, and a length that is not known in advance.
     */
    private static final long NULL_LENGTH = -1;

    private static final long UNKNOWN_LENGTH = -2;

    private static final byte[] EMPTY_BATCH = batch("");

    @Override
    protected Decoder newDecoder() {
        return new DatabaseDecoder();
    }

    /** How much of a response has been received. */
    private enum Stage {
        NOT_STARTED,
        ROW_DESCRIBED,
        ROW_RECEIVED,
        COMPLETE
    }

    private static final class DatabaseDecoder extends TdsDecoder {
        private boolean preloginComplete;
        private boolean handshakeComplete;
        private boolean healthCheck;
        /** Whether an empty batch has been sent whose answer has not arrived. */
        private boolean synchronizing;

        private Stage stage = Stage.NOT_STARTED;
        private boolean rowReceived;
        private boolean loginAcknowledged;
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
        protected void onMessage(int type, ByteBuffer body, FilterChainContext context) {
            require(type == TdsProtocol.TABULAR_RESULT, "message type is not a tabular result");
            if (!preloginComplete) {
                preloginComplete = true;
                respond(context, login());
                return;
            }
            if (synchronizing) {
                onEmptyBatchAnswered(body);
                return;
            }
            while (body.hasRemaining()) {
                require(stage != Stage.COMPLETE, "token after the final DONE");
                onToken(body.get() & TdsProtocol.BYTE_MASK, body);
            }
            require(stage == Stage.COMPLETE, "response without a final DONE");
            if (!handshakeComplete && loginAcknowledged && error == 0) {
                handshakeComplete = true;
                clear();
                emitLast(new DatabaseMessage.ConnectionReady());
                return;
            }
            require(
                    error != 0 || rowReceived != healthCheck,
                    "statement response without a row, or health check response with one");
            AttemptResult result = error == 0 ? AttemptResult.OK : resultOf(error);
            boolean last = fatal || !handshakeComplete;
            var response = new DatabaseMessage.Response(result, role, position, report, value, last);
            clear();
            if (last) {
                emitLast(response);
            } else {
                emit(response);
                synchronizing = true;
                respond(context, EMPTY_BATCH);
            }
        }

        @Override
        protected int partialBytes() {
            return synchronizing ? super.partialBytes() + 1 : super.partialBytes();
        }

        private void onEmptyBatchAnswered(ByteBuffer body) {
            boolean done = body.remaining() == 1 + DONE_BODY_BYTES
                    && (body.get() & TdsProtocol.BYTE_MASK) == TdsProtocol.DONE
                    && (body.getShort() & (TdsProtocol.DONE_MORE | TdsProtocol.DONE_ERROR)) == 0;
            require(done, "message after the end of the response");
            synchronizing = false;
            emitLast(new DatabaseMessage.Synchronized());
        }

        private void onToken(int type, ByteBuffer body) {
            switch (type) {
                case TdsProtocol.COLMETADATA -> {
                    require(handshakeComplete && stage == Stage.NOT_STARTED && error == 0, "unexpected COLMETADATA");
                    stage = Stage.ROW_DESCRIBED;
                    readColumns(body);
                }
                case TdsProtocol.ROW -> {
                    require(stage == Stage.ROW_DESCRIBED, "ROW without COLMETADATA, or more than one ROW");
                    stage = Stage.ROW_RECEIVED;
                    rowReceived = true;
                    value = readRow(body);
                }
                case TdsProtocol.DONE, DONE_PROC, DONE_IN_PROC -> {
                    boolean more = (body.getShort() & TdsProtocol.DONE_MORE) != 0;
                    body.position(body.position() + DONE_BODY_BYTES - 2);
                    stage = more ? stage : Stage.COMPLETE;
                }
                case RETURN_STATUS -> body.getInt();
                case TdsProtocol.ERROR, TdsProtocol.INFO, TdsProtocol.LOGINACK, TdsProtocol.ENVCHANGE -> {
                    int length = body.getShort() & TdsProtocol.SHORT_MASK;
                    ByteBuffer token = body.slice(body.position(), length).order(body.order());
                    body.position(body.position() + length);
                    loginAcknowledged |= type == TdsProtocol.LOGINACK;
                    if (type == TdsProtocol.ERROR || type == TdsProtocol.INFO) {
                        onErrorOrInfo(type, token);
                    }
                }
                default -> throw new IllegalArgumentException("unknown token type " + type);
            }
        }

        private void onErrorOrInfo(int type, ByteBuffer token) {
            int number = token.getInt();
            token.get();
            int severity = token.get();
            String text = text(token, token.getShort() & TdsProtocol.SHORT_MASK);
            if (type == TdsProtocol.ERROR) {
                require(number != 0, "ERROR with number 0");
                error = error == 0 ? number : error;
                fatal |= severity >= TdsProtocol.FATAL_SEVERITY;
            } else if (number == TdsProtocol.NAME_VALUE_INFO) {
                int separator = text.indexOf('=');
                String content = text.substring(separator + 1);
                switch (text.substring(0, Math.max(0, separator))) {
                    case "mode" -> role = LoadReportCodec.parseRole(content);
                    case "wal_time" -> position = LoadReportCodec.parsePosition(content);
                    case "stats" -> report = LoadReportCodec.parse(content);
                    default -> {}
                }
            }
        }

        private void readColumns(ByteBuffer body) {
            require(body.getShort() == 1, "COLMETADATA without exactly one column");
            body.getInt();
            body.getShort();
            require((body.get() & TdsProtocol.BYTE_MASK) == TdsProtocol.VARBINARY, "column type is not varbinary");
            maxLength = body.getShort() & TdsProtocol.SHORT_MASK;
            text(body, body.get() & TdsProtocol.BYTE_MASK);
        }

        private byte[] readRow(ByteBuffer body) {
            if (maxLength != TdsProtocol.VARBINARY_MAX) {
                int length = body.getShort() & TdsProtocol.SHORT_MASK;
                return length == TdsProtocol.VARBINARY_MAX ? null : bytes(body, length);
            }
            long length = body.getLong();
            if (length == NULL_LENGTH) {
                return null;
            }
            ByteArrayOutputStream chunks = new ByteArrayOutputStream();
            for (int chunk = body.getInt(); chunk != 0; chunk = body.getInt()) {
                chunks.writeBytes(bytes(body, chunk));
            }
            require(
                    length == chunks.size() || length == UNKNOWN_LENGTH,
                    "total length of the chunks does not match the length of the value");
            return chunks.toByteArray();
        }

        private void clear() {
            stage = Stage.NOT_STARTED;
            rowReceived = false;
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

        private static void require(boolean condition, String fault) {
            if (!condition) {
                throw new IllegalArgumentException(fault);
            }
        }

        private static AttemptResult resultOf(int number) {
            return switch (number) {
                case TdsProtocol.DATABASE_READ_ONLY, TdsProtocol.REPLICA_BEHIND -> AttemptResult.INELIGIBLE_REPLICA;
                case TdsProtocol.RESOURCE_LIMIT_REACHED, TdsProtocol.TOO_MANY_CONNECTIONS -> AttemptResult
                        .REJECTED_OVERLOADED;
                default -> AttemptResult.ERROR;
            };
        }
    }

    /** Encodes a LOGIN7 message with only a user name. */
    private static byte[] login() {
        int end = LOGIN_FIXED_BYTES + 2 * USER.length();
        TdsWriter out = new TdsWriter()
                .int32(end)
                .int32(TdsProtocol.VERSION)
                .int32(TdsProtocol.PACKET_BYTES)
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
                .toPackets(TdsProtocol.LOGIN7);
    }

    @Override
    public byte[] encode(Object value) {
        if (value instanceof DatabaseCommand.Handshake) {
            return new TdsWriter().bytes(TdsProtocol.PRELOGIN_BODY).toPackets(TdsProtocol.PRELOGIN);
        }
        return batch(value instanceof DatabaseCommand.Execute execute ? execute.text() : TdsProtocol.REPORT_QUERY);
    }

    private static byte[] batch(String text) {
        // ALL_HEADERS with the transaction descriptor, which every batch must have; 0 stands for no transaction.
        return new TdsWriter()
                .int32(ALL_HEADERS_BYTES)
                .int32(TRANSACTION_HEADER_BYTES)
                .int16(TRANSACTION_HEADER)
                .int64(0)
                .int32(1)
                .text(text)
                .toPackets(TdsProtocol.SQL_BATCH);
    }
}
