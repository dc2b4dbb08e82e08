import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** A client in PostgreSQL's protocol, version 3: startup message, then simple queries. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final DataInputStream in;
    final OutputStream out;

    Client(InetSocketAddress address) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(address, 2_000);
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 65_536));
        out = socket.getOutputStream();
        byte[] fields = "user\0client\0database\0core\0\0".getBytes(StandardCharsets.ISO_8859_1);
        out.write(ByteBuffer.allocate(8 + fields.length).putInt(8 + fields.length).putInt(3 << 16).put(fields).array());
    }

    static byte[] query(String text) {
        byte[] body = text.getBytes(StandardCharsets.ISO_8859_1);
        return ByteBuffer.allocate(6 + body.length).put((byte) 'Q').putInt(5 + body.length).put(body).put((byte) 0)
                .array();
    }

    void send(String text) throws IOException {
        out.write(query(text));
    }

    /**
     * Reads up to the next answer's ReadyForQuery. Returns "served VALUE", "refused CODE MESSAGE", "failed CODE
     * MESSAGE", "empty", "closed" or "nothing" (no whole answer in time).
     */
    String readAnswer(int timeoutMillis) throws IOException {
        long end = System.nanoTime() + timeoutMillis * 1_000_000L;
        String answer = null;
        byte[] value = null;
        try {
            while (true) {
                socket.setSoTimeout((int) Math.max(1, (end - System.nanoTime()) / 1_000_000));
                int type = in.readByte();
                byte[] body = new byte[in.readInt() - 4];
                in.readFully(body);
                if (type == 'D') {
                    value = new byte[Math.max(0, ByteBuffer.wrap(body, 2, 4).getInt())];
                    System.arraycopy(body, 6, value, 0, value.length);
                } else if (type == 'C') {
                    answer = "served " + (value.length > 80 ? value.length + " bytes"
                            : new String(value, StandardCharsets.ISO_8859_1));
                } else if (type == 'I') {
                    answer = "empty";
                } else if (type == 'E') {
                    String code = field(body, 'C');
                    boolean refused = code.equals("53300") || code.equals("57P03");
                    answer = (refused ? "refused " : "failed ") + code + " " + field(body, 'M');
                    if (field(body, 'S').equals("FATAL")) {
                        return answer;
                    }
                } else if (type == 'Z' && answer != null) {
                    return answer;
                }
            }
        } catch (SocketTimeoutException e) {
            return "nothing";
        } catch (IOException e) {
            return "closed";
        }
    }

    private static String field(byte[] body, char name) {
        int at = 0;
        while (at < body.length && body[at] != 0) {
            ByteArrayOutputStream text = new ByteArrayOutputStream();
            char type = (char) body[at++];
            while (body[at] != 0) {
                text.write(body[at++]);
            }
            at++;
            if (type == name) {
                return text.toString(StandardCharsets.ISO_8859_1);
            }
        }
        return "";
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
