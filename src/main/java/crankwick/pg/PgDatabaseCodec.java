package crankwick.pg;

import crankwick.RouterApi.Report;
import crankwick.RouterApi.Result;
import crankwick.RouterApi.Role;
import crankwick.RouterApi;
import crankwick.net.CodecFilter;
import crankwick.net.DatabaseCommand;
import crankwick.net.DatabaseMessage;
import crankwick.net.ReportCodec;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;

/** The database's side of PostgreSQL's protocol. */
public final class PgDatabaseCodec extends CodecFilter {
    private static final int VERSION_3 = 3 << 16;
    private static final int MAX_MESSAGE = 256 * 1024;
    private static final String REPORT_COLUMN = "stats";

    @Override
    protected Decoder newDecoder() {
        return new DatabaseDecoder();
    }

    private static final class DatabaseDecoder extends Decoder {
        private boolean greeted;
        private boolean completed;
        private String error;
        private String column;
        private byte[] value;
        private Role role = Role.UNKNOWN;
        private long position = RouterApi.NONE;
        private Report report;

        @Override
        protected Progress decode(Buffer in, FilterChainContext context) {
            if (in.remaining() < 5) {
                return Progress.INCOMPLETE;
            }
            char type = (char) in.get();
            int length = in.getInt();
            if (length < 4 || length > MAX_MESSAGE) {
                in.position(in.limit());
                return message(new DatabaseMessage.Broken("unusable length of a message"));
            }
            if (in.remaining() < length - 4) {
                return Progress.INCOMPLETE;
            }
            byte[] body = new byte[length - 4];
            in.get(body);
            try {
                return take(type, ByteBuffer.wrap(body));
            } catch (BufferUnderflowException | IllegalArgumentException e) {
                in.position(in.limit());
                return message(new DatabaseMessage.Broken("a truncated field in " + type));
            }
        }

        private Progress take(char type, ByteBuffer body) {
            switch (type) {
                case 'S' -> parameter(text(body), text(body));
                case 'T' -> column = body.getShort() == 1 ? text(body) : null;
                case 'D' -> row(body);
                case 'C', 'I' -> completed = true;
                case 'E' -> {
                    if (error(body)) {
                        return answered(true);
                    }
                }
                case 'Z' -> {
                    if (greeted) {
                        return answered(false);
                    }
                    greeted = true;
                    clear();
                    return message(new DatabaseMessage.Greeted());
                }
                default -> { }
            }
            return Progress.SKIPPED;
        }

        private void parameter(String name, String content) {
            switch (name) {
                case "mode" -> role = ReportCodec.role(content);
                case "wal_time" -> position = ReportCodec.position(content);
                case "stats" -> report = ReportCodec.parse(content);
                default -> { }
            }
        }

        private void row(ByteBuffer body) {
            if (body.getShort() != 1) {
                throw new IllegalArgumentException("not one column");
            }
            int length = body.getInt();
            if (length > body.remaining()) {
                throw new IllegalArgumentException("a truncated value");
            }
            value = length < 0 ? null : new byte[length];
            if (value != null) {
                body.get(value);
            }
        }

        /** Keeps the code; true if the connection ends with it. */
        private boolean error(ByteBuffer body) {
            boolean fatal = false;
            error = "XX000";
            for (byte field = body.get(); field != 0; field = body.get()) {
                String content = text(body);
                if (field == 'C') {
                    error = content;
                } else if (field == 'S' || field == 'V') {
                    fatal |= content.equals("FATAL") || content.equals("PANIC");
                }
            }
            return fatal || !greeted;
        }

        private Progress answered(boolean last) {
            if (REPORT_COLUMN.equals(column) && value != null) {
                report = ReportCodec.parse(new String(value, PgWriter.CHARSET));
            }
            Result result = error != null ? result(error) : completed ? Result.OK : Result.ERROR;
            var answer = new DatabaseMessage.Answered(result, role, position, report, value, last);
            clear();
            return message(answer);
        }

        private void clear() {
            completed = false;
            error = null;
            column = null;
            value = null;
            role = Role.UNKNOWN;
            position = RouterApi.NONE;
            report = null;
        }

        private static Result result(String code) {
            return switch (code) {
                case "25006", "72000" -> Result.MISS;
                case "53300", "57P03" -> Result.FULL;
                default -> Result.ERROR;
            };
        }

        private static String text(ByteBuffer body) {
            int start = body.position();
            while (body.get() != 0) {
                continue;
            }
            return new String(body.array(), start, body.position() - 1 - start, PgWriter.CHARSET);
        }
    }

    @Override
    public byte[] encode(Object value) {
        PgWriter out = new PgWriter();
        if (value instanceof DatabaseCommand.Run run) {
            return out.text(run.text()).end('Q').toBytes();
        }
        if (value instanceof DatabaseCommand.AskReport) {
            return out.text("SHOW stats").end('Q').toBytes();
        }
        return out.int32(VERSION_3).text("user").text("crankwick").text("database").text("core").int8(0).end()
                .toBytes();
    }
}
