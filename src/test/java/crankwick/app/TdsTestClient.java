package crankwick.app;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

/** The TDS protocol, implemented separately for the tests so that it does not share the program's faults. */
final class TdsTestClient implements TestWireClient {
    private static final Map<String, Integer> ERROR_NUMBERS =
            Map.of("STALE", 50072, "OVERLOADED", 10928, "ERROR", 8650);
    private static final byte[] PRELOGIN = {1, 0, 6, 0, 1, (byte) 0xFF, 2};

    private static ByteBuffer buffer() {
        return buffer(16_000);
    }

    private static ByteBuffer buffer(int size) {
        return ByteBuffer.allocate(size).order(ByteOrder.LITTLE_ENDIAN);
    }

    /** Splits a message into packets of at most 100 bytes of payload, so that typical messages take several. */
    private static byte[] packets(int type, byte[] body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int from = 0; from == 0 || from < body.length; from += 100) {
            int length = Math.min(100, body.length - from);
            out.write(type);
            out.write(from + length == body.length ? 1 : 0);
            out.write(0);
            out.write(length + 8);
            out.writeBytes(new byte[4]);
            out.write(body, from, length);
        }
        return out.toByteArray();
    }

    private static byte[] packets(int type, ByteBuffer body) {
        byte[] bytes = new byte[body.flip().remaining()];
        body.get(bytes);
        return packets(type, bytes);
    }

    private static byte[] readMessage(DataInputStream in, int[] type) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int status = 0; (status & 1) == 0; ) {
            type[0] = in.readUnsignedByte();
            status = in.readByte();
            int length = in.readUnsignedShort();
            in.skipNBytes(4);
            body.writeBytes(in.readNBytes(length - 8));
        }
        return body.toByteArray();
    }

    private static byte[] utf16(String text) {
        return text.getBytes(StandardCharsets.UTF_16LE);
    }

    private static String utf16(ByteBuffer in, int chars) {
        byte[] bytes = new byte[chars * 2];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_16LE);
    }

    private static byte[] batch(String statement) {
        return packets(
                1,
                buffer(100 + 2 * statement.length())
                        .putInt(22)
                        .putInt(18)
                        .putShort((short) 2)
                        .putLong(0)
                        .putInt(1)
                        .put(utf16(statement)));
    }

    private static void putMessage(ByteBuffer out, int token, int number, String text) {
        out.put((byte) token)
                .putShort((short) (12 + 2 * text.length()))
                .putInt(number)
                .put((byte) 1)
                .put((byte) 16)
                .putShort((short) text.length())
                .put(utf16(text))
                .put((byte) 0)
                .put((byte) 0)
                .putShort((short) 1);
    }

    @Override
    public void login(Socket socket, String team) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        socket.getOutputStream().write(packets(0x12, PRELOGIN));
        readMessage(in, new int[1]);
        ByteBuffer login = buffer().put(new byte[40]).putShort((short) 94).putShort((short) team.length());
        socket.getOutputStream()
                .write(packets(0x10, login.put(new byte[94 - 44]).put(utf16(team))));
        if (readAnswer(in).kind().equals("FAILED")) {
            throw new EOFException("login refused");
        }
    }

    @Override
    public void send(Socket socket, String statement) throws IOException {
        socket.getOutputStream().write(encodeCommand(statement, 0));
    }

    @Override
    public byte[] encodeCommand(String statement, int omittedBytes) {
        byte[] command = batch(statement);
        return Arrays.copyOf(command, command.length - omittedBytes);
    }

    void sendAttention(Socket socket) throws IOException {
        socket.getOutputStream().write(cancel());
    }

    @Override
    public Answer readAnswer(DataInputStream in) throws IOException {
        ByteBuffer body;
        try {
            body = ByteBuffer.wrap(readMessage(in, new int[1])).order(ByteOrder.LITTLE_ENDIAN);
        } catch (EOFException e) {
            return Answer.CLOSED;
        }
        Answer answer = new Answer("EMPTY", "", null, 0);
        long retryAfter = 0;
        while (body.hasRemaining()) {
            int token = body.get() & 0xFF;
            if (token == 0x81) {
                body.position(body.position() + 2 + 4 + 2 + 1 + 2);
                utf16(body, body.get());
            } else if (token == 0xD1) {
                body.getLong();
                byte[] value = new byte[body.getInt()];
                body.get(value);
                body.getInt();
                answer = new Answer("SERVED", "", new String(value, StandardCharsets.ISO_8859_1), 0);
            } else if (token == 0xFD) {
                if ((body.getShort() & 0x20) != 0) {
                    answer = new Answer("ATTENTION", "", null, 0);
                }
                body.position(body.position() + 10);
            } else {
                int end = body.getShort() + body.position();
                if (token == 0xAA || token == 0xAB) {
                    int number = body.getInt();
                    body.getShort();
                    String text = utf16(body, body.getShort());
                    if (text.startsWith("retry_after=")) {
                        retryAfter = Long.parseLong(text.substring(12));
                    } else if (token == 0xAA) {
                        answer = new Answer(number / 100 == 501 ? "REFUSED" : "FAILED", "" + number, null, retryAfter);
                    }
                }
                body.position(end);
            }
        }
        return answer;
    }

    @Override
    public void acceptLogin(Socket socket, DataInputStream in) throws IOException {
        readMessage(in, new int[1]);
        socket.getOutputStream().write(packets(4, PRELOGIN));
        readMessage(in, new int[1]);
        ByteBuffer ack = buffer().put((byte) 0xAD)
                .putShort((short) 10)
                .put((byte) 1)
                .putInt(0x04000074)
                .put((byte) 0)
                .putInt(0)
                .put((byte) 0xFD)
                .put(new byte[12]);
        socket.getOutputStream().write(packets(4, ack));
    }

    @Override
    public String readStatement(DataInputStream in) throws IOException {
        int[] type = new int[1];
        try {
            ByteBuffer body = ByteBuffer.wrap(readMessage(in, type)).order(ByteOrder.LITTLE_ENDIAN);
            return type[0] != 1 ? null : utf16(body.position(body.getInt()), body.remaining() / 2);
        } catch (EOFException e) {
            return null;
        }
    }

    @Override
    public byte[] emptyQueryReply() {
        return packets(4, buffer().put((byte) 0xFD).put(new byte[12]));
    }

    @Override
    public boolean isProbe(String statement) {
        return statement.equals("EXEC crankwick_report");
    }

    @Override
    public byte[] encodeReply(DatabaseReply databaseReply, boolean probe) {
        ByteBuffer out = buffer();
        putMessage(out, 0xAB, 50010, "mode=" + databaseReply.mode());
        putMessage(out, 0xAB, 50010, "wal_time=" + databaseReply.position());
        putMessage(out, 0xAB, 50010, "stats=" + databaseReply.report());
        if (!probe && databaseReply.kind().equals("VALUE")) {
            row(columns(out), databaseReply.value(), 0);
        } else if (!probe) {
            putMessage(out, 0xAA, ERROR_NUMBERS.get(databaseReply.kind()), "no");
        }
        return packets(4, done(out));
    }

    private static ByteBuffer columns(ByteBuffer out) {
        return out.put((byte) 0x81)
                .putShort((short) 1)
                .putInt(0)
                .putShort((short) 0)
                .put((byte) 0xA5)
                .putShort((short) 8000)
                .put((byte) 3)
                .put(utf16("val"));
    }

    /** A row whose declared value length exceeds the actual length by {@code extraLength}, which may be negative. */
    private static ByteBuffer row(ByteBuffer out, String value, int extraLength) {
        byte[] bytes = value.getBytes(StandardCharsets.ISO_8859_1);
        return out.put((byte) 0xD1)
                .putShort((short) (bytes.length + extraLength))
                .put(bytes);
    }

    private static ByteBuffer done(ByteBuffer out) {
        return out.put((byte) 0xFD).put(new byte[12]);
    }

    @Override
    public byte[][] malformedReplies(DatabaseReply databaseReply) {
        String value = databaseReply.value();
        ByteBuffer oversizedRow = columns(buffer());
        oversizedRow.put((byte) 0xD1).putShort((short) 0xFFFE).put(new byte[10_000]);
        return new byte[][] {
            "\21\3noise \377\377\0".getBytes(StandardCharsets.ISO_8859_1),
            packets(4, done(row(columns(buffer()), value, -1))),
            packets(4, done(row(columns(buffer()), value, 1))),
            packets(4, oversizedRow),
            packets(4, done(row(row(columns(buffer()), value, 0), value, 0))),
            packets(4, done(columns(buffer()))),
            packets(4, done(row(buffer(), value, 0))),
            packets(4, row(columns(buffer()), value, 0)),
            packets(4, done(buffer())),
            packets(4, done(row(columns(done(buffer())), value, 0))),
            packets(3, done(buffer())),
            {4, 1, (byte) 0xFF, (byte) 0xFF, 0, 0, 0, 0},
            {4, 0, 0, 8, 0, 0, 0, 0},
            {4}
        };
    }

    @Override
    public byte[] negotiation() {
        return packets(0x12, PRELOGIN);
    }

    @Override
    public byte[] cancel() {
        return packets(6, new byte[0]);
    }

    @Override
    public byte[][] invalidInputs() {
        return new byte[][] {
            "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII),
            {0x12, 1, 0, 3, 0, 0, 0, 0},
            batch("before the login"),
            packets(0x10, new byte[10]),
            packets(0x77, new byte[4]),
            {1, 1, (byte) 0xFF, (byte) 0xFF, 0, 0, 0, 0}
        };
    }
}
