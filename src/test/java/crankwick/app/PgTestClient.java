package crankwick.app;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** The PostgreSQL protocol, implemented separately for the tests so that it does not share the program's faults. */
final class PgTestClient implements TestWireClient {
    private static final Map<String, String> SQLSTATES =
            Map.of("STALE", "72000", "OVERLOADED", "53300", "ERROR", "XX000");

    private static byte[] message(char type, String text) {
        byte[] body = text.getBytes(StandardCharsets.ISO_8859_1);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        if (type != 0) {
            out.write(type);
        }
        out.writeBytes(ByteBuffer.allocate(4).putInt(body.length + 4).array());
        out.writeBytes(body);
        return out.toByteArray();
    }

    @Override
    public void login(Socket socket, String team) throws IOException {
        socket.getOutputStream().write(message((char) 0, "\0\3\0\0user\0client\0database\0core\0\0"));
        DataInputStream in = new DataInputStream(socket.getInputStream());
        while (in.readByte() != 'Z') {
            in.skipNBytes(in.readInt() - 4);
        }
        in.skipNBytes(5);
    }

    @Override
    public void send(Socket socket, String statement) throws IOException {
        socket.getOutputStream().write(encodeCommand(statement, 0));
    }

    @Override
    public byte[] encodeCommand(String statement, int omittedBytes) {
        byte[] command = message('Q', statement + "\0");
        return Arrays.copyOf(command, command.length - omittedBytes);
    }

    @Override
    public Answer readAnswer(DataInputStream in) throws IOException {
        Answer answer = Answer.CLOSED;
        try {
            while (true) {
                char type = (char) in.readByte();
                byte[] body = in.readNBytes(in.readInt() - 4);
                String text = new String(body, StandardCharsets.ISO_8859_1);
                if (type == 'D') {
                    answer = new Answer("SERVED", "", text.substring(6), 0);
                } else if (type == 'I') {
                    answer = new Answer("EMPTY", "", null, 0);
                } else if (type == 'E') {
                    Map<Character, String> fields = new HashMap<>();
                    for (String field : text.split("\0")) {
                        fields.put(field.charAt(0), field.substring(1));
                    }
                    String code = fields.get('C');
                    answer = new Answer(
                            code.equals("53300") ? "REFUSED" : "FAILED",
                            code,
                            null,
                            Long.parseLong(fields.getOrDefault('D', "0")));
                } else if (type == 'Z') {
                    return answer;
                }
            }
        } catch (EOFException e) {
            // The server closes the connection after a fatal error.
            return answer;
        }
    }

    @Override
    public void acceptLogin(Socket socket, DataInputStream in) throws IOException {
        in.skipNBytes(in.readInt() - 4);
        socket.getOutputStream().write(message('R', "\0\0\0\0"));
        socket.getOutputStream().write(message('Z', "I"));
    }

    @Override
    public String readStatement(DataInputStream in) throws IOException {
        int type = in.read();
        if (type != 'Q') {
            return null;
        }
        byte[] body = in.readNBytes(in.readInt() - 4);
        return new String(body, 0, body.length - 1, StandardCharsets.ISO_8859_1);
    }

    @Override
    public boolean isProbe(String statement) {
        return statement.equals("SHOW stats");
    }

    @Override
    public byte[] emptyQueryReply() {
        return concat(message('I', ""), message('Z', "I"));
    }

    @Override
    public byte[] encodeReply(DatabaseReply databaseReply, boolean probe) {
        byte[] status = concat(
                message('S', "mode\0" + databaseReply.mode() + "\0"),
                message('S', "wal_time\0" + databaseReply.position() + "\0"),
                message('S', "stats\0" + databaseReply.report() + "\0"),
                message('Z', "I"));
        if (probe || databaseReply.kind().equals("VALUE")) {
            return concat(
                    columns(probe ? "stats" : "val"),
                    row(probe ? databaseReply.report() : databaseReply.value(), 0),
                    message('C', "SELECT 1\0"),
                    status);
        }
        return concat(message('E', "SERROR\0C" + SQLSTATES.get(databaseReply.kind()) + "\0Mno\0\0"), status);
    }

    private static byte[] concat(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }

    private static byte[] columns(String name) {
        return message('T', "\0\1" + name + "\0" + "\0".repeat(18));
    }

    /** A row whose declared value length exceeds the actual length by {@code extraLength}, which may be negative. */
    private static byte[] row(String value, int extraLength) {
        int length = value.length() + extraLength;
        String bytes = "" + (char) (length >> 24 & 0xFF) + (char) (length >> 16 & 0xFF) + (char) (length >> 8 & 0xFF)
                + (char) (length & 0xFF);
        return message('D', "\0\1" + bytes + value);
    }

    @Override
    public byte[][] malformedReplies(DatabaseReply databaseReply) {
        byte[] columns = columns("val");
        byte[] row = row(databaseReply.value(), 0);
        byte[] done = concat(message('C', "SELECT 1\0"), message('Z', "I"));
        byte[] threeGigabytes = {'D', (byte) 0xC0, 0, 0, 0, 0, 1, (byte) 0xBF, (byte) 0xFF, (byte) 0xFF, 0};
        return new byte[][] {
            "\21\3noise \377\377\0".getBytes(StandardCharsets.ISO_8859_1),
            concat(columns, row(databaseReply.value(), -1), done),
            concat(columns, row(databaseReply.value(), 1), done),
            concat(columns, row, row, done),
            concat(columns, done),
            concat(row, done),
            concat(columns, row),
            concat(columns, row, message('Z', "I")),
            concat(columns, row, message('Z', "")),
            done,
            concat(columns, threeGigabytes, new byte[1 << 20]),
            concat(columns, message('D', "\0")),
            concat(columns, row, message('E', "no end"), done),
            message('Z', "I"),
            new byte[] {'T'},
            message('E', "SERROR\0\0"),
            concat(message('t', "x"), columns, row, done)
        };
    }

    @Override
    public byte[] negotiation() {
        return message((char) 0, "\4\322\26\57");
    }

    @Override
    public byte[] cancel() {
        return message('X', "");
    }

    @Override
    public byte[][] invalidInputs() {
        return new byte[][] {
            "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII),
            {0, 0, 0, 1},
            message((char) 0, "\0\2\0\0"),
            {'Q', 127, 127, 127, 127, 0},
            message('P', "\0\0\0\0"),
            message('Q', "no end"),
            message('Q', "")
        };
    }
}
