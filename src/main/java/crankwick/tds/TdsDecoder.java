package crankwick.tds;

import crankwick.transport.CodecFilter;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.glassfish.grizzly.filterchain.FilterChainContext;

/** Assembles TDS packets into messages, on client and database connections. */
abstract class TdsDecoder extends CodecFilter.Decoder {
    private static final int MAX_MESSAGE_BYTES = 256 * 1024;
    private static final int MAX_PACKET_BYTES = 32 * 1024;

    /** A larger buffer is released after its message; a smaller one is reused for the next. */
    private static final int RETAINED_BUFFER_BYTES = 4 * 1_024;

    private static final int STATUS_OFFSET = 1;
    private static final int LENGTH_OFFSET = 2;

    /** The payloads of the message's packets that have been received. */
    private byte[] body = new byte[0];

    private int bodyBytes;
    /** Whether a packet has been received whose message is not complete, even if the packet was empty. */
    private boolean messageBegun;

    /** Handles a complete message. A truncated field throws an exception, which is reported as a protocol error. */
    protected abstract void onMessage(int type, ByteBuffer message, FilterChainContext context);

    @Override
    protected final boolean decode(ByteBuffer in, FilterChainContext context) {
        if (in.remaining() < TdsProtocol.HEADER_BYTES) {
            return false;
        }
        int type = in.get() & TdsProtocol.BYTE_MASK;
        int status = in.get();
        int length = in.getShort() & TdsProtocol.SHORT_MASK;
        in.getInt();
        if (length < TdsProtocol.HEADER_BYTES || length > MAX_PACKET_BYTES || bodyBytes + length > MAX_MESSAGE_BYTES) {
            throw new IllegalArgumentException("unusable length of a packet");
        }
        if (in.remaining() < length - TdsProtocol.HEADER_BYTES) {
            return false;
        }
        append(in, length - TdsProtocol.HEADER_BYTES);
        messageBegun = (status & TdsProtocol.END_OF_MESSAGE) == 0;
        if (!messageBegun) {
            ByteBuffer message = takeMessage();
            if ((status & TdsProtocol.IGNORE) == 0) {
                onMessage(type, message, context);
            }
        }
        return true;
    }

    private void append(ByteBuffer in, int bytes) {
        int needed = bodyBytes + bytes;
        if (needed > body.length) {
            int doubled = Math.min(2 * body.length, MAX_MESSAGE_BYTES);
            body = Arrays.copyOf(body, Math.max(needed, Math.max(doubled, RETAINED_BUFFER_BYTES)));
        }
        in.get(body, bodyBytes, bytes);
        bodyBytes = needed;
    }

    /** The complete message, which is valid until the next one begins. */
    private ByteBuffer takeMessage() {
        ByteBuffer message = ByteBuffer.wrap(body, 0, bodyBytes).order(ByteOrder.LITTLE_ENDIAN);
        bodyBytes = 0;
        if (body.length > RETAINED_BUFFER_BYTES) {
            body = new byte[0];
        }
        return message;
    }

    @Override
    protected int partialBytes() {
        return messageBegun ? Math.max(1, bodyBytes) : 0;
    }

    /** The end of a message is known from its last packet only; until then a large one may reach the limit. */
    @Override
    protected int expectedBytes(ByteBuffer rest) {
        boolean lengthKnown = rest.remaining() >= LENGTH_OFFSET + Short.BYTES;
        int packet = lengthKnown
                ? rest.getShort(rest.position() + LENGTH_OFFSET) & TdsProtocol.SHORT_MASK
                : rest.remaining();
        boolean last = lengthKnown && (rest.get(rest.position() + STATUS_OFFSET) & TdsProtocol.END_OF_MESSAGE) != 0;
        int known = partialBytes() + packet;
        return last || known <= UNRESERVED_BYTES ? known : MAX_MESSAGE_BYTES;
    }

    /** Decodes UTF-16; most texts have one byte in each character that counts, for which this is much faster. */
    static String text(ByteBuffer from, int chars) {
        byte[] encoded = bytes(from, chars * 2);
        byte[] low = new byte[chars];
        for (int i = 0; i < chars; i++) {
            if (encoded[2 * i + 1] != 0) {
                return new String(encoded, StandardCharsets.UTF_16LE);
            }
            low[i] = encoded[2 * i];
        }
        return new String(low, StandardCharsets.ISO_8859_1);
    }

    static byte[] bytes(ByteBuffer from, int length) {
        if (length < 0 || length > from.remaining()) {
            throw new IllegalArgumentException("truncated");
        }
        byte[] bytes = new byte[length];
        from.get(bytes);
        return bytes;
    }
}
