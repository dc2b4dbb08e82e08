package crankwick.net;

import java.io.IOException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * The shape of every wire's codec: bytes are read into one typed value at a time and passed up, values are
 * written as bytes and passed down.
 */
public abstract class CodecFilter extends BaseFilter {
    /** What the bytes seen so far mean. */
    public enum Progress { INCOMPLETE, SKIPPED, MESSAGE }

    /** What is kept of one connection. */
    public abstract static class Decoder {
        private Object message;

        /** Reads on from the buffer's position; on INCOMPLETE the position does not matter. */
        protected abstract Progress decode(Buffer in, FilterChainContext context);

        /** Sets what MESSAGE stands for. */
        protected final Progress message(Object value) {
            message = value;
            return Progress.MESSAGE;
        }

        /** Answers below the level of messages, as a negotiation does. */
        protected final void answer(FilterChainContext context, byte[] bytes) {
            context.write(wrap(bytes));
        }
    }

    private final Attribute<Decoder> decoders = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
            getClass().getName() + '@' + System.identityHashCode(this), this::newDecoder);

    /** For a connection that has just come up. */
    protected abstract Decoder newDecoder();

    /** The bytes of a value. */
    public abstract byte[] encode(Object value);

    @Override
    public final NextAction handleRead(FilterChainContext context) throws IOException {
        Buffer in = context.getMessage();
        Decoder decoder = decoders.get(context.getConnection());
        while (in.hasRemaining()) {
            int start = in.position();
            Progress progress = decoder.decode(in, context);
            if (progress == Progress.INCOMPLETE) {
                in.position(start);
                return context.getStopAction(start == 0 ? in : in.slice());
            }
            if (progress == Progress.MESSAGE) {
                context.setMessage(decoder.message);
                return context.getInvokeAction(in.hasRemaining() ? in.slice() : null);
            }
        }
        return context.getStopAction();
    }

    @Override
    public final NextAction handleWrite(FilterChainContext context) throws IOException {
        context.setMessage(wrap(encode(context.getMessage())));
        return context.getInvokeAction();
    }

    private static Buffer wrap(byte[] bytes) {
        return Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes);
    }
}
