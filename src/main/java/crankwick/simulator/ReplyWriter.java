package crankwick.simulator;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.RoutingActions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Writes routing actions as lines of the simulator's protocol. */
final class ReplyWriter implements RoutingActions {
    private static final byte[] HEX = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    /** The maximum timer delay that is sent, 70 minutes; the simulator accepts at most 71 minutes. */
    private static final long MAX_TIMER_MICROS = 70L * 60 * 1_000_000;

    private static final int REQUEST_ID_DIGITS = 16;
    private static final int MAX_NUMBER_DIGITS = 20;
    private static final int MAX_CACHED_STRINGS = 4_096;
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final OutputStream out;
    private final Map<String, byte[]> encodedStrings = new HashMap<>();
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int size;
    private long instance;
    private boolean instanceWritten;

    ReplyWriter(OutputStream out) {
        this.out = out;
    }

    /** Selects the instance to which subsequent actions belong. */
    void selectInstance(long id) {
        instance = id;
        instanceWritten = false;
    }

    /** Appends the final {@code ready} line and sends the reply. */
    void flush() throws IOException {
        appendString("ready");
        endLine();
        out.write(buffer, 0, size);
        out.flush();
        size = 0;
    }

    /** Reports that the router of the selected instance has thrown an exception. */
    void fatal(String message) {
        beginAction("fatal ");
        appendString(message.replaceAll("\\s+", " "));
        endLine();
    }

    @Override
    public void send(long requestId, String endpointId, long timeout) {
        beginAction("route ");
        appendHex(requestId);
        appendSpace();
        appendString(endpointId);
        appendSpace();
        if (timeout == AbsentValue.NONE) {
            appendString("-");
        } else {
            appendMillis(timeout);
        }
        endLine();
    }

    @Override
    public void reject(long requestId, long retryAfter) {
        beginAction("decline ");
        appendHex(requestId);
        appendSpace();
        appendMillis(retryAfter);
        endLine();
    }

    @Override
    public void fail(long requestId) {
        beginAction("report_failure ");
        appendHex(requestId);
        endLine();
    }

    @Override
    public void checkHealth(String endpointId) {
        beginAction("ask_load ");
        appendString(endpointId);
        endLine();
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        beginAction("drop_attempt ");
        appendHex(requestId);
        appendSpace();
        appendNumber(attempt);
        endLine();
    }

    @Override
    public void scheduleTimer(long delay, long timerId) {
        beginAction("arm ");
        appendMillis(Math.min(Math.max(0, delay), MAX_TIMER_MICROS));
        appendSpace();
        appendNumber(timerId);
        endLine();
    }

    @Override
    public void watchEndpoints() {
        beginAction("tail 1");
        endLine();
    }

    @Override
    public void fetchEndpoints() {
        beginAction("get_list");
        endLine();
    }

    @Override
    public void log(String line) {
        beginAction("say_log ");
        appendString(line);
        endLine();
    }

    private void beginAction(String prefix) {
        if (!instanceWritten) {
            instanceWritten = true;
            appendString("at ");
            appendNumber(instance);
            endLine();
        }
        appendString(prefix);
    }

    private void appendString(String string) {
        byte[] bytes = encodedStrings.get(string);
        if (bytes == null) {
            bytes = string.getBytes(StandardCharsets.UTF_8);
            if (encodedStrings.size() < MAX_CACHED_STRINGS) {
                encodedStrings.put(string, bytes);
            }
        }
        ensureCapacity(bytes.length);
        System.arraycopy(bytes, 0, buffer, size, bytes.length);
        size += bytes.length;
    }

    private void appendHex(long id) {
        ensureCapacity(REQUEST_ID_DIGITS);
        for (int shift = 60; shift >= 0; shift -= 4) {
            buffer[size++] = HEX[(int) (id >>> shift) & 15];
        }
    }

    private void appendMillis(long micros) {
        appendNumber(micros / 1000);
        int remainder = (int) (micros % 1000);
        if (remainder != 0) {
            ensureCapacity(4);
            buffer[size++] = '.';
            buffer[size++] = (byte) ('0' + remainder / 100);
            buffer[size++] = (byte) ('0' + remainder / 10 % 10);
            buffer[size++] = (byte) ('0' + remainder % 10);
        }
    }

    private void appendNumber(long value) {
        ensureCapacity(MAX_NUMBER_DIGITS);
        if (value < 10 && value >= 0) {
            buffer[size++] = (byte) ('0' + value);
            return;
        }
        byte[] digits = Long.toString(value).getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(digits, 0, buffer, size, digits.length);
        size += digits.length;
    }

    private void appendSpace() {
        ensureCapacity(1);
        buffer[size++] = ' ';
    }

    private void endLine() {
        ensureCapacity(1);
        buffer[size++] = '\n';
    }

    private void ensureCapacity(int additionalBytes) {
        if (size + additionalBytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, size + additionalBytes));
        }
    }
}
