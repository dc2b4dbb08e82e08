package crankwick.tds;

import crankwick.net.CodecFilter;
import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;

/** Puts packets together to messages, for both sides. */
abstract class TdsDecoder extends CodecFilter.Decoder {
    private static final int MAX_MESSAGE = 512 * 1024;
    private static final int MAX_PACKET = 32 * 1024;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private boolean broken;

    /** Takes one whole message; what is truncated in it may throw. */
    protected abstract CodecFilter.Progress take(int type, ByteBuffer message, FilterChainContext context);

    /** The value that stands for a broken connection. */
    protected abstract Object brokenBy(String fault);

    @Override
    protected final CodecFilter.Progress decode(Buffer in, FilterChainContext context) {
        if (broken) {
            in.position(in.limit());
            return CodecFilter.Progress.SKIPPED;
        }
        if (in.remaining() < Tds.HEADER) {
            return CodecFilter.Progress.INCOMPLETE;
        }
        int type = in.get() & 0xFF;
        int status = in.get();
        int length = in.getShort() & 0xFFFF;
        in.getInt();
        if (length < Tds.HEADER || length > MAX_PACKET || body.size() + length > MAX_MESSAGE) {
            return broken(in, "unusable length of a packet");
        }
        if (in.remaining() < length - Tds.HEADER) {
            return CodecFilter.Progress.INCOMPLETE;
        }
        byte[] part = new byte[length - Tds.HEADER];
        in.get(part);
        body.writeBytes(part);
        if ((status & Tds.LAST) == 0) {
            return CodecFilter.Progress.SKIPPED;
        }
        ByteBuffer message = ByteBuffer.wrap(body.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
        body.reset();
        if ((status & Tds.IGNORE) != 0) {
            return CodecFilter.Progress.SKIPPED;
        }
        try {
            return take(type, message, context);
        } catch (BufferUnderflowException | IndexOutOfBoundsException | IllegalArgumentException e) {
            return broken(in, "a truncated or unknown field in a message of type " + type);
        }
    }

    private CodecFilter.Progress broken(Buffer in, String fault) {
        broken = true;
        in.position(in.limit());
        return message(brokenBy(fault));
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
