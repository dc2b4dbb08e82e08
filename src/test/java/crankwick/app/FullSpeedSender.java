package crankwick.app;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** A client that sends messages of one kind at full speed until it is stopped, and connects again when it is closed. */
final class FullSpeedSender implements AutoCloseable {
    /** What is sent. Each kind but the last reads its answers as fast as they arrive. */
    enum Kind {
        EMPTY_STATEMENTS,
        /** Asks for encryption on PostgreSQL, the messages before the login on TDS. */
        NEGOTIATIONS,
        /** Statements without hints. */
        UNSOUND_STATEMENTS,
        /** Sound reads with little time, each under a new id and of a new session. */
        READS_UNDER_NEW_NAMES,
        /** Sound reads with much time, of ever new groups. */
        READS_OF_NEW_GROUPS,
        /** Statements whose comments have very many short hints. */
        MANY_SHORT_HINTS,
        /** Half of a login message, then a message of no known type. */
        NOISE,
        /** Cancels on TDS, ends of the connection on PostgreSQL. */
        CANCELS,
        /** No message: connections are opened and reset. */
        CONNECTIONS,
        /** Empty statements, each byte written by itself. */
        SINGLE_BYTES,
        /** Empty statements whose answers are not read. */
        UNREAD_ANSWERS
    }

    private static final int MESSAGES_PER_WRITE = 500;
    private static final int MANY_HINTS = 20_000;
    private static final AtomicLong IDS = new AtomicLong(1L << 40);

    private final Deployment deployment;
    private final Kind kind;
    /** Set once no new connections are to be opened; the open one stays in use. */
    private volatile boolean stopsConnecting;

    private volatile boolean stopped;
    private volatile Socket socket;

    FullSpeedSender(Deployment deployment, Kind kind) {
        this.deployment = deployment;
        this.kind = kind;
        start("full speed sender", this::sendUntilStopped);
    }

    void stopConnecting() {
        stopsConnecting = true;
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void sendUntilStopped() {
        while (!stopped && !stopsConnecting) {
            try (Socket current = deployment.connect()) {
                socket = current;
                if (kind == Kind.CONNECTIONS) {
                    current.setSoLinger(true, 0);
                    continue;
                }
                if (kind != Kind.NEGOTIATIONS && kind != Kind.NOISE) {
                    deployment.wire.login(current, "collectors");
                }
                if (kind != Kind.UNREAD_ANSWERS) {
                    start("full speed reader", () -> readToEnd(current));
                }
                while (!stopped) {
                    send(current);
                }
            } catch (IOException e) {
                // The proxy has closed or rejected the connection.
                Thread.onSpinWait();
            }
        }
    }

    private void send(Socket current) throws IOException {
        byte[] messages = nextMessages();
        if (kind != Kind.SINGLE_BYTES) {
            current.getOutputStream().write(messages);
            return;
        }
        for (byte single : messages) {
            current.getOutputStream().write(single);
        }
    }

    /** Reads and drops all input until the connection ends. */
    static void readToEnd(Socket socket) {
        try (InputStream in = socket.getInputStream()) {
            in.transferTo(java.io.OutputStream.nullOutputStream());
        } catch (IOException e) {
            // The connection has ended.
            Thread.onSpinWait();
        }
    }

    private byte[] nextMessages() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int messages = kind == Kind.MANY_SHORT_HINTS ? 1 : MESSAGES_PER_WRITE;
        for (int i = 0; i < messages; i++) {
            out.writeBytes(nextMessage());
        }
        return out.toByteArray();
    }

    private byte[] nextMessage() {
        TestWireClient wire = deployment.wire;
        long id = IDS.incrementAndGet();
        return switch (kind) {
            case EMPTY_STATEMENTS, SINGLE_BYTES, CONNECTIONS, UNREAD_ANSWERS -> wire.encodeCommand("", 0);
            case NEGOTIATIONS -> wire.negotiation();
            case UNSOUND_STATEMENTS -> wire.encodeCommand("SELECT " + id, 0);
            case READS_UNDER_NEW_NAMES -> wire.encodeCommand(read(id, "d=235,cluster=0"), 0);
            case READS_OF_NEW_GROUPS -> wire.encodeCommand(read(id, "d=60000,cluster=" + id % Integer.MAX_VALUE), 0);
            case MANY_SHORT_HINTS -> wire.encodeCommand("/*" + "a=1,".repeat(MANY_HINTS) + "*/ SELECT 1", 0);
            case NOISE -> wire.invalidInputs()[(int) (id % wire.invalidInputs().length)];
            case CANCELS -> wire.cancel();
        };
    }

    private static String read(long id, String hints) {
        return "/* id=" + id + ",c=map-view," + hints + " */ SELECT val FROM state WHERE uid = '" + id + "'";
    }

    @Override
    public void close() throws IOException {
        stopped = true;
        Socket current = socket;
        if (current != null) {
            current.close();
        }
    }
}
