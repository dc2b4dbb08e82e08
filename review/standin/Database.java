import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** A database in PostgreSQL's protocol; what it does with a statement is up to its {@link Handler}. */
final class Database {
    /** Handles one statement on its connection; runs on the connection's own thread. */
    interface Handler {
        void onStatement(Database database, Connection connection, String statement) throws Exception;
    }

    /** Takes part in reading a statement; the default reads as fast as the bytes come. */
    interface Reader {
        void read(DataInputStream in, byte[] body) throws Exception;
    }

    final String id;
    final ServerSocket server = new ServerSocket();
    final Handler handler;
    volatile Reader reader = DataInputStream::readFully;
    volatile boolean primary;
    /** Whether small writes are sent at once (TCP_NODELAY); false is the default of sockets. */
    volatile boolean noDelay = true;
    /** The position up to which commits are applied, in Unix milliseconds; 0 for the present. */
    volatile long position;
    /** How long a new connection waits for its greeting. */
    volatile long greetingMillis;

    Database(String id, boolean primary, int receiveBuffer, Handler handler) throws IOException {
        this.id = id;
        this.primary = primary;
        this.handler = handler;
        if (receiveBuffer > 0) {
            server.setReceiveBufferSize(receiveBuffer);
        }
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1_024);
        Thread acceptor = new Thread(this::accept);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    int port() {
        return server.getLocalPort();
    }

    long positionNow() {
        return position > 0 ? position : System.currentTimeMillis();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(noDelay);
                Thread thread = new Thread(null, () -> serve(socket), "database", 128 * 1024);
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Connection connection = new Connection(this, socket);
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 512));
            in.readFully(new byte[in.readInt() - 4]);
            Thread.sleep(greetingMillis);
            connection.message('R', new byte[4]).status().ready();
            while (true) {
                int type = in.readByte();
                byte[] body = new byte[in.readInt() - 4];
                reader.read(in, body);
                if (type == 'X') {
                    return;
                }
                String text = new String(body, 0, body.length - 1, StandardCharsets.ISO_8859_1);
                if (text.equals("SHOW stats")) {
                    connection.row(connection.report().getBytes(StandardCharsets.ISO_8859_1)).status().ready();
                } else {
                    handler.onStatement(this, connection, text);
                }
            }
        } catch (Exception e) {
            // The proxy has closed the connection.
        }
    }

    /** One connection: builds messages and writes them with {@link #ready}. */
    static final class Connection {
        final Database database;
        final Socket socket;
        final OutputStream out;
        final ByteArrayOutputStream pending = new ByteArrayOutputStream();

        Connection(Database database, Socket socket) throws IOException {
            this.database = database;
            this.socket = socket;
            out = socket.getOutputStream();
        }

        Connection message(char type, byte[] body) {
            pending.write(type);
            pending.writeBytes(ByteBuffer.allocate(4).putInt(body.length + 4).array());
            pending.writeBytes(body);
            return this;
        }

        private static byte[] text(String... values) {
            return (String.join("\0", values) + "\0").getBytes(StandardCharsets.ISO_8859_1);
        }

        String report() {
            return "x0=" + database.positionNow() / 1_000 + "." + String.format("%03d", database.positionNow() % 1_000)
                    + ",x1=" + (database.primary ? 1 : 0);
        }

        /** The ParameterStatus messages with role, position and load report. */
        Connection status() {
            message('S', text("mode", database.primary ? "read-write" : "read-only"));
            message('S', text("wal_time", Long.toString(database.positionNow())));
            return message('S', text("stats", report()));
        }

        Connection row(byte[] value) {
            byte[] name = text("val");
            message('T', ByteBuffer.allocate(2 + name.length + 18).putShort((short) 1).put(name).putInt(0)
                    .putShort((short) 0).putInt(17).putShort((short) -1).putInt(-1).putShort((short) 1).array());
            message('D', ByteBuffer.allocate(6 + value.length).putShort((short) 1).putInt(value.length).put(value)
                    .array());
            return message('C', text("SELECT 1"));
        }

        Connection error(String code, String text) {
            return message('E', text("SERROR", "VERROR", "C" + code, "M" + text, ""));
        }

        void ready() throws IOException {
            message('Z', new byte[] {'I'});
            byte[] bytes = pending.toByteArray();
            pending.reset();
            out.write(bytes);
        }
    }
}
