import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** The messages of TDS that clients and databases use. */
final class Tds {
    static final int BATCH = 0x01;
    static final int RESULT = 0x04;
    static final int ATTENTION = 0x06;
    static final int LOGIN7 = 0x10;
    static final int PRELOGIN = 0x12;
    static final int INFO = 0xAB;
    static final int ERROR = 0xAA;
    static final int NAME_VALUE = 50010;
    private static final int PACKET_BYTES = 4_096;
    private static final int HEADER_BYTES = 8;
    private static final byte[] PRELOGIN_BODY = {0, 0, 11, 0, 6, 1, 0, 17, 0, 1, (byte) 0xFF, 16, 0, 0, 0, 0, 0, 2};

    /** A message as it was read: its type and body. */
    record Message(int type, ByteBuffer body) {}

    private Tds() {}

    /** Splits a message into packets. */
    static byte[] packets(int type, byte[] body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int at = 0;
        do {
            int size = Math.min(PACKET_BYTES - HEADER_BYTES, body.length - at);
            int length = size + HEADER_BYTES;
            boolean last = at + size == body.length;
            out.writeBytes(new byte[] {(byte) type, (byte) (last ? 1 : 0), (byte) (length >> 8), (byte) length, 0, 0, 1, 0});
            out.write(body, at, size);
            at += size;
        } while (at < body.length);
        return out.toByteArray();
    }

    /** Reads a message; null at the end of the connection. */
    static Message read(DataInputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int type = in.read();
            if (type < 0) {
                return null;
            }
            int status = in.readUnsignedByte();
            int length = in.readUnsignedShort();
            in.skipNBytes(4);
            byte[] payload = in.readNBytes(length - HEADER_BYTES);
            if (payload.length < length - HEADER_BYTES) {
                throw new EOFException();
            }
            body.writeBytes(payload);
            if ((status & 1) != 0) {
                return new Message(type, ByteBuffer.wrap(body.toByteArray()).order(ByteOrder.LITTLE_ENDIAN));
            }
        }
    }

    static ByteBuffer buffer(int bytes) {
        return ByteBuffer.allocate(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }

    static byte[] utf16(String text) {
        return text.getBytes(StandardCharsets.UTF_16LE);
    }

    static byte[] prelogin(int type) {
        return packets(type, PRELOGIN_BODY);
    }

    static byte[] login(String user) {
        int fixed = 94;
        ByteBuffer out = buffer(fixed + 2 * user.length());
        out.putInt(out.capacity()).putInt(0x74000004).putInt(PACKET_BYTES);
        out.position(36);
        for (int pair = 0; pair < 9; pair++) {
            out.putShort((short) (pair <= 1 ? fixed : out.capacity())).putShort((short) (pair == 1 ? user.length() : 0));
        }
        out.position(fixed);
        out.put(utf16(user));
        return packets(LOGIN7, out.array());
    }

    static byte[] batch(String text) {
        ByteBuffer out = buffer(22 + 2 * text.length());
        out.putInt(22).putInt(18).putShort((short) 2).putLong(0).putInt(1).put(utf16(text));
        return packets(BATCH, out.array());
    }

    /** The text of a batch. */
    static String text(Message batch) {
        ByteBuffer body = batch.body();
        body.position(body.getInt(0));
        byte[] text = new byte[body.remaining()];
        body.get(text);
        return new String(text, StandardCharsets.UTF_16LE);
    }

    private static byte[] token(int type, byte[] body) {
        return buffer(3 + body.length).put((byte) type).putShort((short) body.length).put(body).array();
    }

    /** An INFO or ERROR token. */
    static byte[] message(int type, int number, int severity, String text) {
        ByteBuffer out = buffer(14 + 2 * text.length());
        out.putInt(number).put((byte) 1).put((byte) severity).putShort((short) text.length()).put(utf16(text));
        out.put((byte) 0).put((byte) 0).putInt(1);
        return token(type, out.array());
    }

    static byte[] info(String name, String value) {
        return message(INFO, NAME_VALUE, 0, name + "=" + value);
    }

    static byte[] done(int status, long rows) {
        return buffer(13).put((byte) 0xFD).putShort((short) status).putShort((short) 0).putLong(rows).array();
    }

    static byte[] loginAccepted() {
        ByteBuffer ack = buffer(4 + 2 + 2 + 4);
        ack.put((byte) 1).putInt(0x04000074).put((byte) 1).put(utf16("s")).putInt(0);
        return packets(RESULT, Pg.concat(token(0xAD, ack.array()), done(0, 0)));
    }

    /** One column of type varbinary(max) and one row. */
    static byte[] row(byte[] value) {
        ByteBuffer columns = buffer(1 + 2 + 4 + 2 + 1 + 2 + 1 + 6);
        columns.put((byte) 0x81).putShort((short) 1).putInt(0).putShort((short) 1).put((byte) 0xA5);
        columns.putShort((short) 0xFFFF).put((byte) 3).put(utf16("val"));
        ByteBuffer row = buffer(1 + 8 + 4 + value.length + 4);
        row.put((byte) 0xD1).putLong(value.length).putInt(value.length).put(value).putInt(0);
        return Pg.concat(columns.array(), row.array());
    }
}
