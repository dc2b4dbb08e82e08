package crankwick.tds;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Builds a TDS message from little-endian fields and tokens, and splits it into packets with headers. */
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

    /** Appends text in UTF-16 without its length. */
    TdsWriter text(String value) {
        return bytes(value.getBytes(StandardCharsets.UTF_16LE));
    }

    /** Appends the length of the text in characters, as one byte, and the text in UTF-16. */
    TdsWriter shortText(String value) {
        return int8(value.length()).text(value);
    }

    /** Appends a token: its type, the length of its body as two bytes, and the body. */
    TdsWriter token(int type, TdsWriter body) {
        byte[] bytes = body.out.toByteArray();
        return int8(type).int16(bytes.length).bytes(bytes);
    }

    /** Appends an ERROR or INFO token. */
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

    /**
     * Appends the COLMETADATA and ROW tokens of one varbinary(max) column. A NULL value is written as the length -1
     * alone, any other value as its length, one chunk unless it is empty, and the end of the chunks.
     */
    TdsWriter row(byte[] value) {
        int8(TdsProtocol.COLMETADATA)
                .int16(1)
                .int32(0)
                .int16(1)
                .int8(TdsProtocol.VARBINARY)
                .int16(TdsProtocol.VARBINARY_MAX);
        shortText("val").int8(TdsProtocol.ROW).int64(value == null ? NULL_LENGTH : value.length);
        if (value == null) {
            return this;
        }
        if (value.length > 0) {
            int32(value.length).bytes(value);
        }
        return int32(CHUNKS_END);
    }

    /** Appends a DONE token. */
    TdsWriter done(int status, long rows) {
        return int8(TdsProtocol.DONE).int16(status).int16(0).int64(rows);
    }

    /** The message, split into packets of the given type. */
    byte[] toPackets(int type) {
        byte[] body = out.toByteArray();
        ByteArrayOutputStream packets = new ByteArrayOutputStream(body.length + INITIAL_HEADERS_BYTES);
        int from = 0;
        int number = 1;
        do {
            int length = Math.min(body.length - from, TdsProtocol.PACKET_BYTES - TdsProtocol.HEADER_BYTES);
            int total = length + TdsProtocol.HEADER_BYTES;
            packets.write(type);
            packets.write(from + length == body.length ? TdsProtocol.END_OF_MESSAGE : 0);
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
