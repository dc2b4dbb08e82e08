package crankwick.tds;

import crankwick.transport.CodecFilter;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.filterchain.FilterChainContext;

/** Puts packets together to messages, for both sides. */
abstract class TdsDecoder extends CodecFilter.Decoder {
    private static final int MAX_MESSAGE_BYTES = 256 * 1024;
    private static final int MAX_PACKET_BYTES = 32 * 1024;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** Takes one whole message; what is truncated in it may throw. */
    protected abstract void take(int type, ByteBuffer message, FilterChainContext context);

    @Override
    protected final boolean decode(ByteBuffer in, FilterChainContext context) {
        if (in.remaining() < Tds.HEADER_BYTES) {
            return false;
        }
        int type = in.get() & Tds.BYTE_MASK;
        int status = in.get();
        int length = in.getShort() & Tds.SHORT_MASK;
        in.getInt();
        if (length < Tds.HEADER_BYTES || length > MAX_PACKET_BYTES || body.size() + length > MAX_MESSAGE_BYTES) {
            throw new IllegalArgumentException("unusable length of a packet");
        }
        if (in.remaining() < length - Tds.HEADER_BYTES) {
            return false;
        }
        byte[] part = new byte[length - Tds.HEADER_BYTES];
        in.get(part);
        body.writeBytes(part);
        if ((status & Tds.END_OF_MESSAGE) != 0) {
            ByteBuffer message = ByteBuffer.wrap(body.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
            body.reset();
            if ((status & Tds.IGNORE) == 0) {
                take(type, message, context);
            }
        }
        return true;
    }

    @Override
    protected int partialBytes() {
        return body.size();
    }

    static String text(ByteBuffer from, int chars) {
        return new String(bytes(from, chars * 2), StandardCharsets.UTF_16LE);
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
