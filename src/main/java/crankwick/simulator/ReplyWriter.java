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
    /** The wire takes timers of 71 minutes at most. */
    private static final long MAX_TIMER_MICROS = 70L * 60 * 1_000_000;

    private static final int REQUEST_ID_DIGITS = 16;
    private static final int MAX_NUMBER_DIGITS = 20;
    private static final int MAX_CACHED_WORDS = 4_096;
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final OutputStream out;
    private final Map<String, byte[]> encoded = new HashMap<>();
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int size;
    private long instance;
    private boolean instanceWritten;

    ReplyWriter(OutputStream out) {
        this.out = out;
    }

    /** The actions that follow are those of this instance. */
    void selectInstance(long id) {
        instance = id;
        instanceWritten = false;
    }

    /** Ends the reply. */
    void flush() throws IOException {
        text("ready");
        endLine();
        out.write(buffer, 0, size);
        out.flush();
        size = 0;
    }

    /** Reports that the decisions have failed. */
    void fatal(String what) {
        begin("fatal ");
        text(what.replaceAll("\\s+", " "));
        endLine();
    }

    @Override
    public void send(long requestId, String endpointId, long timeout) {
        begin("route ");
        hex(requestId);
        space();
        text(endpointId);
        space();
        if (timeout == AbsentValue.NONE) {
            text("-");
        } else {
            millis(timeout);
        }
        endLine();
    }

    @Override
    public void reject(long requestId, long retryAfter) {
        begin("decline ");
        hex(requestId);
        space();
        millis(retryAfter);
        endLine();
    }

    @Override
    public void fail(long requestId) {
        begin("report_failure ");
        hex(requestId);
        endLine();
    }

    @Override
    public void checkHealth(String endpointId) {
        begin("ask_load ");
        text(endpointId);
        endLine();
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        begin("drop_attempt ");
        hex(requestId);
        space();
        number(attempt);
        endLine();
    }

    @Override
    public void scheduleTimer(long delay, long timerId) {
        begin("arm ");
        millis(Math.min(Math.max(0, delay), MAX_TIMER_MICROS));
        space();
        number(timerId);
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
        if (!instanceWritten) {
            instanceWritten = true;
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
            if (encoded.size() < MAX_CACHED_WORDS) {
                encoded.put(s, bytes);
            }
        }
        ensureCapacity(bytes.length);
        System.arraycopy(bytes, 0, buffer, size, bytes.length);
        size += bytes.length;
    }

    private void hex(long id) {
        ensureCapacity(REQUEST_ID_DIGITS);
        for (int shift = 60; shift >= 0; shift -= 4) {
            buffer[size++] = HEX[(int) (id >>> shift) & 15];
        }
    }

    private void millis(long micros) {
        number(micros / 1000);
        int rest = (int) (micros % 1000);
        if (rest != 0) {
            ensureCapacity(4);
            buffer[size++] = '.';
            buffer[size++] = (byte) ('0' + rest / 100);
            buffer[size++] = (byte) ('0' + rest / 10 % 10);
            buffer[size++] = (byte) ('0' + rest % 10);
        }
    }

    private void number(long value) {
        ensureCapacity(MAX_NUMBER_DIGITS);
        if (value < 10 && value >= 0) {
            buffer[size++] = (byte) ('0' + value);
            return;
        }
        byte[] digits = Long.toString(value).getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(digits, 0, buffer, size, digits.length);
        size += digits.length;
    }

    private void space() {
        ensureCapacity(1);
        buffer[size++] = ' ';
    }

    private void endLine() {
        ensureCapacity(1);
        buffer[size++] = '\n';
    }

    private void ensureCapacity(int more) {
        if (size + more > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, size + more));
        }
    }
}
