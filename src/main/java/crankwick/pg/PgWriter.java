package crankwick.pg;

import java.io.ByteArrayOutputStream;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;

/** Builds messages of version 3: a type, a length, the fields. */
final class PgWriter {
    private static final int BYTEA_TYPE_OID = 17;
    /** Each byte a character: statements and values pass through unchanged, whatever their encoding. */
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

    /** A row of one binary column, described and given; null is SQL's NULL. */
    PgWriter row(byte[] value) {
        int16(1).text("val")
                .int32(0)
                .int16(0)
                .int32(BYTEA_TYPE_OID)
                .int16(-1)
                .int32(-1)
                .int16(1);
        end(PgProtocol.ROW_DESCRIPTION);
        int16(1);
        if (value == null) {
            int32(NULL_LENGTH);
        } else {
            int32(value.length).bytes(value);
        }
        return end(PgProtocol.DATA_ROW);
    }

    /** Ends a message that has a type. */
    PgWriter end(char type) {
        out.write(type);
        return end();
    }

    /** Ends a message that has none, as at the start. */
    PgWriter end() {
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
