package crankwick.tds;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Builds a TDS message: little-endian fields and tokens, then packets with their headers. */
final class TdsWriter {
    private static final int CHUNKS_END = 0;
    private static final int NULL_LENGTH = -1;
    private static final int INITIAL_BYTES = 256;
    private static final int INITIAL_HEADERS_BYTES = 64;
    private static final int BYTE_BITS = 8;
    private static final int SHORT_BITS = 16;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BYTES);

    TdsWriter int8(int value) {
        out.write(value);
        return this;
    }

    TdsWriter int16(int value) {
        return int8(value).int8(value >> BYTE_BITS);
    }

    TdsWriter int32(int value) {
        return int16(value).int16(value >> SHORT_BITS);
    }

    TdsWriter int64(long value) {
        return int32((int) value).int32((int) (value >> Integer.SIZE));
    }

    TdsWriter bytes(byte[] value) {
        out.writeBytes(value);
        return this;
    }

    /** Text in UTF-16, without its length. */
    TdsWriter text(String value) {
        return bytes(value.getBytes(StandardCharsets.UTF_16LE));
    }

    /** Text with its length in a byte. */
    TdsWriter shortText(String value) {
        return int8(value.length()).text(value);
    }

    /** A token whose body has its length before it. */
    TdsWriter token(int type, TdsWriter body) {
        byte[] bytes = body.out.toByteArray();
        return int8(type).int16(bytes.length).bytes(bytes);
    }

    /** ERROR or INFO. */
    TdsWriter message(int token, int number, int severity, String text) {
        return token(
                token,
                new TdsWriter()
                        .int32(number)
                        .int8(1)
                        .int8(severity)
                        .int16(text.length())
                        .text(text)
                        .shortText("crankwick")
                        .shortText("")
                        .int32(1));
    }

    /** COLMETADATA and ROW of one varbinary(max): its length (-1 for NULL), at most one chunk, the end. */
    TdsWriter row(byte[] value) {
        int8(Tds.COLMETADATA).int16(1).int32(0).int16(1).int8(Tds.VARBINARY).int16(Tds.VARBINARY_MAX);
        shortText("val").int8(Tds.ROW).int64(value == null ? NULL_LENGTH : value.length);
        if (value == null) {
            return this;
        }
        if (value.length > 0) {
            int32(value.length).bytes(value);
        }
        return int32(CHUNKS_END);
    }

    /** DONE. */
    TdsWriter done(int status, long rows) {
        return int8(Tds.DONE).int16(status).int16(0).int64(rows);
    }

    /** The message in packets of the type. */
    byte[] packets(int type) {
        byte[] body = out.toByteArray();
        ByteArrayOutputStream packets = new ByteArrayOutputStream(body.length + INITIAL_HEADERS_BYTES);
        int from = 0;
        int number = 1;
        do {
            int length = Math.min(body.length - from, Tds.PACKET_BYTES - Tds.HEADER_BYTES);
            int total = length + Tds.HEADER_BYTES;
            packets.write(type);
            packets.write(from + length == body.length ? Tds.END_OF_MESSAGE : 0);
            packets.write(total >> BYTE_BITS);
            packets.write(total);
            packets.write(0);
            packets.write(0);
            packets.write(number++);
            packets.write(0);
            packets.write(body, from, length);
            from += length;
        } while (from < body.length);
        return packets.toByteArray();
    }
}
