package crankwick.simulator;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.RoutingActions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Writes a router's actions as lines of the wire. */
final class ReplyWriter implements RoutingActions {
    private static final byte[] HEX = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private static final long MAX_TIMER = 70L * 60 * 1_000_000;

    private final OutputStream out;
    private final Map<String, byte[]> encoded = new HashMap<>();
    private byte[] buffer = new byte[1 << 16];
    private int size;
    private long instance;
    private boolean named;

    ReplyWriter(OutputStream out) {
        this.out = out;
    }

    /** The actions that follow belong to this instance. */
    void at(long id) {
        instance = id;
        named = false;
    }

    /** Ends the reply. */
    void flush() throws IOException {
        text("ready");
        endLine();
        out.write(buffer, 0, size);
        out.flush();
        size = 0;
    }

    void fatal(String what) {
        begin("fatal ");
        text(what.replaceAll("\\s+", " "));
        endLine();
    }

    @Override
    public void send(long id, String server, long patience) {
        begin("route ");
        hex(id);
        space();
        text(server);
        space();
        if (patience == AbsentValue.NONE) {
            text("-");
        } else {
            millis(patience);
        }
        endLine();
    }

    @Override
    public void reject(long id, long retryAfter) {
        begin("decline ");
        hex(id);
        space();
        millis(retryAfter);
        endLine();
    }

    @Override
    public void fail(long id) {
        begin("report_failure ");
        hex(id);
        endLine();
    }

    @Override
    public void checkHealth(String server) {
        begin("ask_load ");
        text(server);
        endLine();
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        begin("drop_attempt ");
        hex(id);
        space();
        number(attempt);
        endLine();
    }

    @Override
    public void scheduleTimer(long fromNow, long ref) {
        begin("arm ");
        millis(Math.min(Math.max(0, fromNow), MAX_TIMER));
        space();
        number(ref);
        endLine();
    }

    @Override
    public void watchEndpoints() {
        begin("tail 1");
        endLine();
    }

    @Override
    public void fetchEndpoints() {
        begin("get_list");
        endLine();
    }

    @Override
    public void log(String line) {
        begin("say_log ");
        text(line);
        endLine();
    }

    private void begin(String word) {
        if (!named) {
            named = true;
            text("at ");
            number(instance);
            endLine();
        }
        text(word);
    }

    private void text(String s) {
        byte[] bytes = encoded.get(s);
        if (bytes == null) {
            bytes = s.getBytes(StandardCharsets.UTF_8);
            if (encoded.size() < 4096) {
                encoded.put(s, bytes);
            }
        }
        room(bytes.length);
        System.arraycopy(bytes, 0, buffer, size, bytes.length);
        size += bytes.length;
    }

    private void hex(long id) {
        room(16);
        for (int shift = 60; shift >= 0; shift -= 4) {
            buffer[size++] = HEX[(int) (id >>> shift) & 15];
        }
    }

    private void millis(long micros) {
        number(micros / 1000);
        int rest = (int) (micros % 1000);
        if (rest != 0) {
            room(4);
            buffer[size++] = '.';
            buffer[size++] = (byte) ('0' + rest / 100);
            buffer[size++] = (byte) ('0' + rest / 10 % 10);
            buffer[size++] = (byte) ('0' + rest % 10);
        }
    }

    private void number(long value) {
        room(20);
        if (value < 10 && value >= 0) {
            buffer[size++] = (byte) ('0' + value);
            return;
        }
        byte[] digits = Long.toString(value).getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(digits, 0, buffer, size, digits.length);
        size += digits.length;
    }

    private void space() {
        room(1);
        buffer[size++] = ' ';
    }

    private void endLine() {
        room(1);
        buffer[size++] = '\n';
    }

    private void room(int more) {
        if (size + more > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, size + more));
        }
    }
}
