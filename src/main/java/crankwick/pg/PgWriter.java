package crankwick.pg;

import java.io.ByteArrayOutputStream;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;

/**
 * Builds messages of version 3 of PostgreSQL's protocol: a type, except in a startup message, a length and the fields.
 */
final class PgWriter {
    private static final int BYTEA_TYPE_OID = 17;
    /** Maps each byte to one character, so that statements and values in any encoding pass through unchanged. */
    static final Charset CHARSET = StandardCharsets.ISO_8859_1;

    private static final int INITIAL_BYTES = 128;
    private static final int BYTE_BITS = 8;
    private static final int SHORT_BITS = 16;
    private static final int NULL_LENGTH = -1;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BYTES);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(INITIAL_BYTES);

    PgWriter int16(int value) {
        body.write(value >> BYTE_BITS);
        body.write(value);
        return this;
    }

    PgWriter int32(int value) {
        return int16(value >> SHORT_BITS).int16(value);
    }

    PgWriter int8(int value) {
        body.write(value);
        return this;
    }

    PgWriter bytes(byte[] value) {
        body.writeBytes(value);
        return this;
    }

    PgWriter text(String value) {
        return bytes(value.getBytes(CHARSET)).int8(0);
    }

    /** Appends the RowDescription and the DataRow of one binary column; null stands for SQL NULL. */
    PgWriter row(byte[] value) {
        int16(1).text("val")
                .int32(0)
                .int16(0)
                .int32(BYTEA_TYPE_OID)
                .int16(-1)
                .int32(-1)
                .int16(1);
        endMessage(PgProtocol.ROW_DESCRIPTION);
        int16(1);
        if (value == null) {
            int32(NULL_LENGTH);
        } else {
            int32(value.length).bytes(value);
        }
        return endMessage(PgProtocol.DATA_ROW);
    }

    /** Ends a message: writes its type, its length and the fields that were appended since the last message. */
    PgWriter endMessage(char type) {
        out.write(type);
        return endMessage();
    }

    /** Ends a startup message, which has no type: writes its length and its fields. */
    PgWriter endMessage() {
        int length = body.size() + PgProtocol.LENGTH_BYTES;
        out.write(length >> SHORT_BITS + BYTE_BITS);
        out.write(length >> SHORT_BITS);
        out.write(length >> BYTE_BITS);
        out.write(length);
        out.writeBytes(body.toByteArray());
        body.reset();
        return this;
    }

    byte[] toBytes() {
        return out.toByteArray();
    }
}
