package crankwick.transport;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * The shape of every wire's codec: what comes in is read into typed values, which go up as a list; values are
 * written as bytes and go down. What has come in of a value that is not whole is kept here, within a budget
 * for all connections of the wire together. After a breach of the protocol the rest is dropped as it streams.
 */
public abstract class CodecFilter extends BaseFilter {
    /** Guards against many peers that each send a part of something large. */
    private static final long MAX_KEPT = Runtime.getRuntime().maxMemory() / 8;

    private final AtomicLong kept = new AtomicLong();
    private final Attribute<Decoder> decoders = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
            getClass().getName() + '@' + System.identityHashCode(this));

    /** What is kept of one connection; its owner is the filter, which gives it back when that closes. */
    public abstract static class Decoder {
        private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

        private List<Object> whole;
        private ByteBuffer rest = NOTHING;
        private long reserved;
        private boolean due = true;
        private boolean broken;
        /** While a part of a value is kept: when it began, or the last whole one came; else 0. */
        private volatile long openSince;

        /** Reads on from the buffer's position; false if that is not enough. May throw on nonsense. */
        protected abstract boolean decode(ByteBuffer in, FilterChainContext context);

        /** The value that stands for a breach of the protocol. */
        protected abstract Object brokenBy(String fault);

        /** Bytes kept in the decoder itself of a value that earlier calls have begun; 0 between values. */
        protected abstract int begun();

        /** Passes a value up. */
        protected final void emit(Object value) {
            whole.add(value);
        }

        /** Passes a value up after which nothing may come in until a command goes out. */
        protected final void emitLast(Object value) {
            whole.add(value);
            due = false;
        }

        /** Answers below the level of values, as a negotiation does. */
        protected final void answer(FilterChainContext context, byte[] bytes) {
            context.write(wrap(bytes));
        }

        /** A command goes out, so that its answer may come in. */
        protected void asked(Object command) {
            due = true;
        }

        private synchronized List<Object> read(ByteBuffer in, FilterChainContext context, AtomicLong budget) {
            if (broken) {
                return List.of();
            }
            whole = new ArrayList<>(2);
            ByteBuffer all = rest.hasRemaining() ? joined(in) : in;
            int start = all.position();
            String fault = null;
            try {
                while (fault == null && all.hasRemaining()) {
                    if (!due) {
                        fault = "bytes that no command asked for";
                    } else if (decode(all, context)) {
                        start = all.position();
                    } else {
                        break;
                    }
                }
                all.position(start);
                rest = !all.hasRemaining() ? NOTHING : all == in ? joined(NOTHING, in) : all;
                reserve(rest.capacity() + begun(), budget);
            } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
                fault = "a truncated field";
            } catch (IllegalArgumentException e) {
                fault = e.getMessage();
            }
            boolean open = rest.hasRemaining() || begun() > 0;
            if (fault != null) {
                emit(brokenBy(fault));
                broken = true;
                open = false;
                rest = NOTHING;
                reserve(0, budget);
            }
            if (!open) {
                openSince = 0;
            } else if (openSince == 0 || !whole.isEmpty()) {
                openSince = System.nanoTime();
            }
            return whole;
        }

        private ByteBuffer joined(ByteBuffer more) {
            int end = rest.limit();
            if (rest.capacity() - end < more.remaining()) {
                return joined(rest, more);
            }
            rest.limit(end + more.remaining());
            rest.put(end, more, more.position(), more.remaining());
            return rest;
        }

        private static ByteBuffer joined(ByteBuffer first, ByteBuffer second) {
            int length = first.remaining() + second.remaining();
            return ByteBuffer.allocate(Math.max(length, 2 * first.remaining()))
                    .put(first)
                    .put(second)
                    .flip();
        }

        private void reserve(long bytes, AtomicLong budget) {
            long all = budget.addAndGet(bytes - reserved);
            reserved = bytes;
            if (all > MAX_KEPT && bytes > 0) {
                throw new IllegalArgumentException("no memory is left for what is not whole");
            }
        }

        private synchronized void release(AtomicLong budget) {
            broken = true;
            rest = NOTHING;
            openSince = 0;
            reserve(0, budget);
        }
    }

    /** For a connection that has just come up. */
    protected abstract Decoder newDecoder();

    /** The bytes of a value. */
    public abstract byte[] encode(Object value);

    /** This command goes out next: its answer may come in. To be called where reading is done. */
    public final void expect(Connection<?> connection, Object command) {
        decoders.peek(connection).asked(command);
    }

    /** True if a part of a value has come in, but not its end. */
    public final boolean hasPartOfAValue(Connection<?> connection) {
        Decoder decoder = decoders.peek(connection);
        return decoder != null && decoder.openSince != 0;
    }

    /** True if a part of a value has been lying here for so many microseconds without its end. */
    public final boolean stalled(Connection<?> connection, long micros) {
        Decoder decoder = decoders.peek(connection);
        long since = decoder == null ? 0 : decoder.openSince;
        return since != 0 && System.nanoTime() - since > micros * 1_000;
    }

    /** Runs a task, where the connection is read, if it is stalled even once what has arrived is read. */
    public final void ifStillStalled(Connection<?> connection, long micros, Runnable task) {
        Transport.afterReading(connection, () -> {
            if (stalled(connection, micros)) {
                task.run();
            }
        });
    }

    @Override
    public final NextAction handleAccept(FilterChainContext context) {
        decoders.set(context.getConnection(), newDecoder());
        return context.getInvokeAction();
    }

    @Override
    public final NextAction handleConnect(FilterChainContext context) {
        return handleAccept(context);
    }

    @Override
    public final NextAction handleRead(FilterChainContext context) throws IOException {
        Buffer in = context.getMessage();
        List<Object> values = decoders.peek(context.getConnection()).read(in.toByteBuffer(), context, kept);
        in.tryDispose();
        if (values.isEmpty()) {
            return context.getStopAction();
        }
        context.setMessage(values);
        return context.getInvokeAction();
    }

    @Override
    public final NextAction handleWrite(FilterChainContext context) throws IOException {
        context.setMessage(wrap(encode(context.getMessage())));
        return context.getInvokeAction();
    }

    @Override
    public final NextAction handleClose(FilterChainContext context) throws IOException {
        Decoder decoder = decoders.peek(context.getConnection());
        if (decoder != null) {
            decoder.release(kept);
        }
        return context.getInvokeAction();
    }

    private static Buffer wrap(byte[] bytes) {
        return Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes);
    }
}
