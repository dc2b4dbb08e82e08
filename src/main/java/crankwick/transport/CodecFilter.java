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
 * The base of the codec of each protocol: input is decoded into typed messages, which go up the chain as a list;
 * messages are encoded as bytes on the way down. Incomplete input is buffered here, within a budget for all
 * connections of the protocol together. After a protocol error further input is dropped.
 */
public abstract class CodecFilter extends BaseFilter {
    private static final long NANOS_PER_MICRO = 1_000;
    private static final int MAX_BUFFERED_HEAP_DIVISOR = 8;
    /** Bounds the input of many peers that each send a part of a large message. */
    private static final long MAX_BUFFERED_BYTES = Runtime.getRuntime().maxMemory() / MAX_BUFFERED_HEAP_DIVISOR;

    private final AtomicLong bufferedBytes = new AtomicLong();
    private final Attribute<Decoder> decoders = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
            getClass().getName() + '@' + System.identityHashCode(this));

    /** The decoding state of one connection; the filter releases it when the connection closes. */
    public abstract static class Decoder {
        private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

        private List<Object> decoded;
        private ByteBuffer remainder = EMPTY;
        private long reservedBytes;
        private boolean inputExpected = true;
        private boolean broken;
        /** While a message is incomplete: when it began, or the last complete one came; else 0. */
        private volatile long incompleteSinceNanos;

        /** Decodes from the buffer's position; false if a message is incomplete. Throws IllegalArgumentException. */
        protected abstract boolean decode(ByteBuffer in, FilterChainContext context);

        /** The message that stands for a protocol error. */
        protected abstract Object protocolError(String fault);

        /** The bytes that the decoder itself retains of an incomplete message; 0 between messages. */
        protected abstract int partialBytes();

        /** Passes a message up. */
        protected final void emit(Object value) {
            decoded.add(value);
        }

        /** Passes a message up after which no input is expected until a command goes out. */
        protected final void emitLast(Object value) {
            decoded.add(value);
            inputExpected = false;
        }

        /** Writes bytes directly, as a negotiation does. */
        protected final void respond(FilterChainContext context, byte[] bytes) {
            context.write(wrap(bytes));
        }

        /** A command goes out, so that its response may come in. */
        protected void onCommand(Object command) {
            inputExpected = true;
        }

        private synchronized List<Object> read(ByteBuffer in, FilterChainContext context, AtomicLong budget) {
            if (broken) {
                return List.of();
            }
            decoded = new ArrayList<>(2);
            String fault = decodeAll(in, context, budget);
            if (fault != null) {
                fail(fault, budget);
                incompleteSinceNanos = 0;
            } else if (!remainder.hasRemaining() && partialBytes() <= 0) {
                incompleteSinceNanos = 0;
            } else if (incompleteSinceNanos == 0 || !decoded.isEmpty()) {
                incompleteSinceNanos = System.nanoTime();
            }
            return decoded;
        }

        /** Decodes what has come in, and retains the rest; returns what is wrong with it, or null. */
        private String decodeAll(ByteBuffer in, FilterChainContext context, AtomicLong budget) {
            ByteBuffer input = remainder.hasRemaining() ? join(in) : in;
            int start = input.position();
            String fault = null;
            try {
                while (fault == null && input.hasRemaining()) {
                    if (!inputExpected) {
                        fault = "bytes that no command asked for";
                    } else if (decode(input, context)) {
                        start = input.position();
                    } else {
                        break;
                    }
                }
                input.position(start);
                retain(input, in);
                reserve(remainder.capacity() + partialBytes(), budget);
            } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
                fault = "a truncated field";
            } catch (IllegalArgumentException e) {
                fault = e.getMessage();
            }
            return fault;
        }

        /** Keeps what is left of the input; {@code in} is Grizzly's own buffer, of which a copy is made. */
        private void retain(ByteBuffer input, ByteBuffer in) {
            if (!input.hasRemaining()) {
                remainder = EMPTY;
            } else {
                remainder = input == in ? join(EMPTY, in) : input;
            }
        }

        private void fail(String fault, AtomicLong budget) {
            emit(protocolError(fault));
            broken = true;
            remainder = EMPTY;
            reserve(0, budget);
        }

        private ByteBuffer join(ByteBuffer more) {
            int end = remainder.limit();
            if (remainder.capacity() - end < more.remaining()) {
                return join(remainder, more);
            }
            remainder.limit(end + more.remaining());
            remainder.put(end, more, more.position(), more.remaining());
            return remainder;
        }

        private static ByteBuffer join(ByteBuffer first, ByteBuffer second) {
            int length = first.remaining() + second.remaining();
            return ByteBuffer.allocate(Math.max(length, 2 * first.remaining()))
                    .put(first)
                    .put(second)
                    .flip();
        }

        private void reserve(long bytes, AtomicLong budget) {
            long all = budget.addAndGet(bytes - reservedBytes);
            reservedBytes = bytes;
            if (all > MAX_BUFFERED_BYTES && bytes > 0) {
                throw new IllegalArgumentException("no memory is left for what is not whole");
            }
        }

        private synchronized void release(AtomicLong budget) {
            broken = true;
            remainder = EMPTY;
            incompleteSinceNanos = 0;
            reserve(0, budget);
        }
    }

    /** The decoder of a new connection. */
    protected abstract Decoder newDecoder();

    /** The bytes of a message. */
    public abstract byte[] encode(Object value);

    /** This command goes out next, and its response may come in. To be called on the selector thread. */
    public final void expectResponse(Connection<?> connection, Object command) {
        decoders.peek(connection).onCommand(command);
    }

    /** True if a message has come in incompletely. */
    public final boolean hasIncompleteMessage(Connection<?> connection) {
        Decoder decoder = decoders.peek(connection);
        return decoder != null && decoder.incompleteSinceNanos != 0;
    }

    /** True if a message has been incomplete for so many microseconds. */
    public final boolean isStalled(Connection<?> connection, long micros) {
        Decoder decoder = decoders.peek(connection);
        long since = decoder == null ? 0 : decoder.incompleteSinceNanos;
        return since != 0 && System.nanoTime() - since > micros * NANOS_PER_MICRO;
    }

    /** Runs a task on the selector thread, if the connection is still stalled once what has arrived is read. */
    public final void runIfStillStalled(Connection<?> connection, long micros, Runnable task) {
        Transport.afterPendingReads(connection, () -> {
            if (isStalled(connection, micros)) {
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
        List<Object> values = decoders.peek(context.getConnection()).read(in.toByteBuffer(), context, bufferedBytes);
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
            decoder.release(bufferedBytes);
        }
        return context.getInvokeAction();
    }

    private static Buffer wrap(byte[] bytes) {
        return Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes);
    }
}
