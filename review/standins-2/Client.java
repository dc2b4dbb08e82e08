import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** A client connection: sends commands, possibly many at once, and reads the answers in their order. */
final class Client {
    private static final AtomicLong NEXT = new AtomicLong(System.nanoTime() << 12);

    /** A request and its answer. */
    static final class Request {
        final String id = String.format("%016x", NEXT.incrementAndGet());
        final String requestClass;
        final double deadlineMillis;
        String statement;
        volatile double sentAt;
        volatile double answeredAt;
        /** SERVED, REFUSED, FAILED or CLOSED; null while there is no answer. */
        volatile String answer;
        volatile String code = "";
        volatile String value;

        Request(String requestClass, double deadlineMillis) {
            this.requestClass = requestClass;
            this.deadlineMillis = deadlineMillis;
        }

        static Request read(String requestClass, double deadlineMillis, int group, String session, String more) {
            Request request = new Request(requestClass, deadlineMillis);
            request.statement = String.format(
                    "/* id=%s,c=%s,d=%.0f,cluster=%d%s */ SELECT val FROM state WHERE uid = '%s'",
                    request.id, requestClass, deadlineMillis, group, more, session);
            return request;
        }

        static Request write(String requestClass, double deadlineMillis, int group, String session, String key) {
            Request request = new Request(requestClass, deadlineMillis);
            request.statement = String.format(
                    "/* id=%s,c=%s,d=%.0f,k=%s,cluster=%d */ INSERT INTO state (uid, val) VALUES ('%s', '\\x9f03')"
                            + " RETURNING val",
                    request.id, requestClass, deadlineMillis, key, group, session);
            return request;
        }
    }

    final Socket socket;
    final List<Request> requests = new CopyOnWriteArrayList<>();
    private final Rig rig;
    private final Deque<Request> open = new ArrayDeque<>();
    volatile boolean closed;
    /** While true, answers are not read. */
    volatile boolean readingPaused;

    Client(Rig rig, int port) throws IOException {
        this.rig = rig;
        socket = Pg.connect(port);
        socket.getOutputStream().write(Pg.startup("client"));
        DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
        while (in.readByte() != 'Z') {
            in.skipNBytes(in.readInt() - 4L);
        }
        in.skipNBytes(5);
        Rig.background(() -> readAnswers(in));
    }

    void send(List<Request> batch) throws IOException {
        List<byte[]> parts = new ArrayList<>();
        synchronized (open) {
            for (Request request : batch) {
                parts.add(Pg.query(request.statement));
                open.add(request);
            }
        }
        double sentAt = Rig.now();
        for (Request request : batch) {
            request.sentAt = sentAt;
            requests.add(request);
        }
        socket.getOutputStream().write(Pg.concat(parts.toArray(new byte[0][])));
    }

    void send(Request request) throws IOException {
        send(List.of(request));
    }

    private Request poll() {
        synchronized (open) {
            return open.poll();
        }
    }

    private void readAnswers(DataInputStream in) {
        String answer = null;
        String code = "";
        String value = null;
        try {
            while (true) {
                while (readingPaused) {
                    Rig.sleep(1);
                }
                char type = (char) in.readByte();
                byte[] body = in.readNBytes(in.readInt() - 4);
                String text = new String(body, StandardCharsets.ISO_8859_1);
                if (type == 'D') {
                    answer = "SERVED";
                    value = text.substring(6);
                } else if (type == 'E') {
                    code = "";
                    for (String field : text.split("\0")) {
                        code = field.startsWith("C") ? field.substring(1) : code;
                    }
                    answer = code.equals("53300") || code.equals("57P03") ? "REFUSED" : "FAILED";
                } else if (type == 'Z') {
                    finish(poll(), answer, code, value);
                    answer = null;
                    code = "";
                    value = null;
                }
            }
        } catch (IOException e) {
            closed = true;
            if (answer != null) {
                // A fatal error needs no ReadyForQuery; it answers one request.
                finish(poll(), answer, code, value);
            }
            for (Request request = poll(); request != null; request = poll()) {
                finish(request, "CLOSED", "", null);
            }
        }
    }

    private void finish(Request request, String answer, String code, String value) {
        if (request != null) {
            request.answeredAt = Rig.now();
            request.code = code;
            request.value = value;
            request.answer = answer;
        }
    }

    /** Writes all requests with their answers to the record. */
    void writeRecord(String name) {
        for (Request request : requests) {
            rig.note(name + " sent " + request.id + " class " + request.requestClass + " d "
                    + (long) request.deadlineMillis + " at " + Rig.at(request.sentAt) + ": "
                    + (request.answer == null
                            ? "no answer"
                            : request.answer + " " + request.code + " at " + Rig.at(request.answeredAt)));
        }
    }

    /** Closes the connection. */
    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            closed = true;
        }
    }
}
