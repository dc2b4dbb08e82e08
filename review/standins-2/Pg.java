import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The messages of PostgreSQL's protocol that clients and databases use. */
final class Pg {
    private Pg() {}

    static byte[] message(char type, byte[] body) {
        ByteBuffer out = ByteBuffer.allocate(5 + body.length);
        out.put((byte) type).putInt(body.length + 4).put(body);
        return out.array();
    }

    static byte[] message(char type, String body) {
        return message(type, body.getBytes(StandardCharsets.ISO_8859_1));
    }

    static byte[] startup(String user) {
        byte[] body = ("\0\3\0\0user\0" + user + "\0database\0core\0\0").getBytes(StandardCharsets.ISO_8859_1);
        return ByteBuffer.allocate(4 + body.length).putInt(body.length + 4).put(body).array();
    }

    static byte[] query(String text) {
        return message('Q', text + "\0");
    }

    static byte[] status(String name, String value) {
        return message('S', name + "\0" + value + "\0");
    }

    static byte[] row(byte[] value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] columns = "\0\1val\0\0\0\0\0\0\0\0\0\0\21\377\377\377\377\377\377\0\1".getBytes(StandardCharsets.ISO_8859_1);
        out.writeBytes(message('T', columns));
        out.writeBytes(message(
                'D',
                ByteBuffer.allocate(6 + value.length)
                        .putShort((short) 1)
                        .putInt(value.length)
                        .put(value)
                        .array()));
        out.writeBytes(message('C', "SELECT 1\0"));
        return out.toByteArray();
    }

    static byte[] error(String code) {
        return message('E', "SERROR\0C" + code + "\0Mno\0\0");
    }

    static byte[] ready() {
        return message('Z', "I");
    }

    /** A hint of a statement's leading comment, or null. */
    static String hint(String statement, String name) {
        int end = statement.indexOf("*/");
        for (String part : statement.substring(statement.indexOf("/*") + 2, Math.max(2, end)).split(",")) {
            String pair = part.trim();
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        return null;
    }

    static byte[] concat(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }

    /** Reads the startup message of a connection. */
    static void readStartup(DataInputStream in) throws IOException {
        in.skipNBytes(in.readInt() - 4L);
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        return socket;
    }
}
