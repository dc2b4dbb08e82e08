package crankwick.tds;

import crankwick.transport.CodecFilter;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.filterchain.FilterChainContext;

/** Assembles TDS packets into messages, on client and database connections. */
abstract class TdsDecoder extends CodecFilter.Decoder {
    private static final int MAX_MESSAGE_BYTES = 256 * 1024;
    private static final int MAX_PACKET_BYTES = 32 * 1024;

    /** A larger buffer is released after its message; a smaller one is reused for the next. */
    private static final int MAX_RETAINED_BUFFER_BYTES = 4 * 1_024;

    private ByteArrayOutputStream body = new ByteArrayOutputStream();
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
        if (length < TdsProtocol.HEADER_BYTES
                || length > MAX_PACKET_BYTES
                || body.size() + length > MAX_MESSAGE_BYTES) {
            throw new IllegalArgumentException("unusable length of a packet");
        }
        if (in.remaining() < length - TdsProtocol.HEADER_BYTES) {
            return false;
        }
        byte[] payload = new byte[length - TdsProtocol.HEADER_BYTES];
        in.get(payload);
        body.writeBytes(payload);
        messageBegun = (status & TdsProtocol.END_OF_MESSAGE) == 0;
        if (!messageBegun) {
            ByteBuffer message = ByteBuffer.wrap(body.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
            clearBody();
            if ((status & TdsProtocol.IGNORE) == 0) {
                onMessage(type, message, context);
            }
        }
        return true;
    }

    @Override
    protected int partialBytes() {
        return messageBegun ? Math.max(1, body.size()) : 0;
    }

    private void clearBody() {
        if (body.size() > MAX_RETAINED_BUFFER_BYTES) {
            body = new ByteArrayOutputStream();
        } else {
            body.reset();
        }
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
