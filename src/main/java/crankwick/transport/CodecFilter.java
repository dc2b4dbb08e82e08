package crankwick.transport;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
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
 * Base class of the protocol codecs. Input is decoded into typed messages, which are passed up the filter chain as a
 * list; messages on the way down are encoded as bytes. The memory for incomplete input is shared by all connections of
 * the protocol ({@link InputMemory}). After a protocol error, further input is dropped.
 */
public abstract class CodecFilter extends BaseFilter {
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_BUFFERED_HEAP_DIVISOR = 8;
    /** More than the protocols need before a login: each answer is a write on the thread that serves all sockets. */
    private static final int MAX_NEGOTIATION_RESPONSES = 4;

    /** Limits the buffered input of all connections together, as many peers may each send part of a large message. */
    private static final long MAX_BUFFERED_BYTES = Runtime.getRuntime().maxMemory() / MAX_BUFFERED_HEAP_DIVISOR;

    private final InputMemory inputMemory = new InputMemory(MAX_BUFFERED_BYTES, new PacedConnections());
    private volatile FaultReceiver faultReceiver;
    private final ReadPacer readPacer = new ReadPacer();
    private final Attribute<Decoder> decoders = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
            getClass().getName() + '@' + System.identityHashCode(this));

    /** Receives the protocol errors of connections that are found while none of their input is read. */
    public interface FaultReceiver {
        /** Called on the selector thread with the message that reports the error. */
        void onFault(Connection<?> connection, Object protocolError);
    }

    /** The decoding state of one connection; the filter releases it when the connection closes. */
    public abstract static class Decoder {
        /** A message of more bytes needs a reservation of memory until it is complete. */
        protected static final int UNRESERVED_BYTES = InputMemory.UNRESERVED_BYTES;

        private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

        private List<Object> decoded;
        private ByteBuffer remainder = EMPTY;
        private InputMemory.Share memoryShare;
        /** What is to be reserved for the incomplete message; 0 if it needs no reservation. */
        private int neededBytes;

        private boolean inputExpected = true;
        private boolean inputDropped;
        private int negotiationResponses;
        /**
         * The {@link System#nanoTime} of the read after which a message became incomplete, or of the last read since
         * then that also completed a message; 0 while no message is incomplete.
         */
        private volatile long incompleteSinceNanos;
        /**
         * Decodes a message from the buffer's position; returns false if it is incomplete. Throws
         * IllegalArgumentException with the fault if it is malformed.
         */
        protected abstract boolean decode(ByteBuffer in, FilterChainContext context);

        /** Creates the message that reports a protocol error. */
        protected abstract Object protocolError(String fault);

        /**
         * The number of bytes of an incomplete message that the decoder itself buffers; 0 between messages. At least 1
         * also while the peer owes an answer to bytes that the decoder has written with {@link #respond}.
         */
        protected abstract int partialBytes();

        /**
         * The number of bytes that the incomplete message needs until it is complete, as far as is known, with those
         * that the decoder itself buffers. {@code rest} is the undecoded input, from its position.
         */
        protected int expectedBytes(ByteBuffer rest) {
            return rest.remaining() + partialBytes();
        }

        /** Adds a message to those that are passed up the filter chain after the current read. */
        protected final void emit(Object message) {
            decoded.add(message);
        }

        /** As {@link #emit}; input that follows the message is a protocol error until a command is sent. */
        protected final void emitLast(Object message) {
            decoded.add(message);
            inputExpected = false;
        }

        /**
         * Responds to a message with which a client negotiates before its login; more than
         * {@link #MAX_NEGOTIATION_RESPONSES} of them on a connection are a protocol error.
         */
        protected final void respondToNegotiation(FilterChainContext context, byte[] bytes) {
            if (++negotiationResponses > MAX_NEGOTIATION_RESPONSES) {
                throw new IllegalArgumentException("too many negotiation messages");
            }
            respond(context, bytes);
        }

        /** Writes bytes to the peer without encoding them. */
        protected final void respond(FilterChainContext context, byte[] bytes) {
            context.write(wrap(bytes));
        }

        /** Called when a command is about to be sent: from now on, input is expected. */
        protected void onCommand(Object command) {
            inputExpected = true;
        }

        private synchronized List<Object> read(ByteBuffer in, FilterChainContext context, InputMemory memory) {
            if (inputDropped) {
                return List.of();
            }
            decoded = new ArrayList<>(2);
            String fault = decodeAll(in, context);
            if (fault != null) {
                fail(fault, memory);
                return decoded;
            }
            updateMemory(memory);
            if (!remainder.hasRemaining() && partialBytes() <= 0) {
                incompleteSinceNanos = 0;
            } else if (incompleteSinceNanos == 0 || !decoded.isEmpty()) {
                incompleteSinceNanos = System.nanoTime();
            }
            return decoded;
        }

        /**
         * Decodes complete messages and buffers the rest of the input; returns a description of the fault, or null if
         * there is none.
         */
        private String decodeAll(ByteBuffer in, FilterChainContext context) {
            ByteBuffer input = remainder.hasRemaining() ? append(in) : in;
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
                bufferRemainder(input, in);
            } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
                fault = "a truncated field";
            } catch (IllegalArgumentException e) {
                fault = e.getMessage();
            }
            return fault;
        }

        /** Buffers undecoded input. {@code in} belongs to Grizzly, so its bytes are copied. */
        private void bufferRemainder(ByteBuffer input, ByteBuffer in) {
            if (!input.hasRemaining()) {
                remainder = EMPTY;
            } else if (input == in || input.position() > 0) {
                remainder = concat(EMPTY, input);
            } else {
                remainder = input;
            }
        }

        /** Releases the memory of a message that has been completed, and sets that which the next one needs. */
        private void updateMemory(InputMemory memory) {
            int bytes = expectedBytes(remainder);
            neededBytes = bytes > UNRESERVED_BYTES ? bytes : 0;
            if (!decoded.isEmpty() || neededBytes == 0) {
                memory.release(memoryShare);
            }
        }

        private void fail(String fault, InputMemory memory) {
            emit(protocolError(fault));
            release(memory);
        }

        /** Drops the incomplete message; returns the message that reports the fault, or null if there is none. */
        private synchronized Object reject(InputMemory memory) {
            if (inputDropped || incompleteSinceNanos == 0) {
                return null;
            }
            release(memory);
            return protocolError("no memory is left for what is not whole");
        }

        /** The time for completing a message does not include that for which it was not read. */
        private synchronized void onReadingResumed() {
            incompleteSinceNanos = incompleteSinceNanos == 0 ? 0 : System.nanoTime();
        }

        private ByteBuffer append(ByteBuffer input) {
            int end = remainder.limit();
            if (remainder.capacity() - end < input.remaining()) {
                return concat(remainder, input);
            }
            remainder.limit(end + input.remaining());
            remainder.put(end, input, input.position(), input.remaining());
            return remainder;
        }

        private ByteBuffer concat(ByteBuffer first, ByteBuffer second) {
            int length = first.remaining() + second.remaining();
            int doubled = first.hasRemaining() ? Math.min(2 * first.remaining(), expectedBytes(first)) : 0;
            return ByteBuffer.allocate(Math.max(length, doubled))
                    .put(first)
                    .put(second)
                    .flip();
        }

        private synchronized void release(InputMemory memory) {
            inputDropped = true;
            remainder = EMPTY;
            neededBytes = 0;
            incompleteSinceNanos = 0;
            memory.release(memoryShare);
        }
    }

    /**
     * Limits the memory for incomplete input from now on, with the timers of a loop. To be called before the first
     * connection.
     */
    public final void limitInputMemory(EventLoop loop, FaultReceiver receiver) {
        faultReceiver = receiver;
        inputMemory.useTimersOf(loop);
    }

    /** The counters of incomplete input, formatted for a log line. */
    public final String inputCounters() {
        return inputMemory + " max_paced_read_ms=" + readPacer.maxWaitNanos() / NANOS_PER_MILLI;
    }

    /** Creates the decoder of a new connection. */
    protected abstract Decoder newDecoder();

    /** Encodes a message. */
    public abstract byte[] encode(Object value);

    /** Allows input in response to a command, which the caller sends next. Must be called on the selector thread. */
    public final void expectResponse(Connection<?> connection, Object command) {
        decoders.peek(connection).onCommand(command);
    }

    /** True if a message has been received only in part. */
    public final boolean hasIncompleteMessage(Connection<?> connection) {
        Decoder decoder = decoders.peek(connection);
        return decoder != null && decoder.incompleteSinceNanos != 0;
    }

    /**
     * True if a message has been incomplete for more than {@code micros} microseconds and the input received by then
     * has been read.
     */
    public final boolean isStalled(Connection<?> connection, long micros) {
        Decoder decoder = decoders.peek(connection);
        long since = decoder == null || unreadSinceNanos(connection) != 0 ? 0 : decoder.incompleteSinceNanos;
        return since != 0 && System.nanoTime() - since > micros * NANOS_PER_MICRO;
    }

    /**
     * The {@link System#nanoTime} since when the connection may have had unread input, because reading has not reached
     * its end or is paused; 0 if all is read. What the peer sent last, such as its close, may be unknown since then.
     */
    public final long unreadSinceNanos(Connection<?> connection) {
        return readPacer.unreadSinceNanos(connection);
    }

    /** Pauses or resumes reading from a connection. Safe on any thread. */
    public final void setReadingPaused(Connection<?> connection, boolean paused) {
        readPacer.setPaused(connection, paused);
    }

    /** Runs a task on the selector thread if the connection is still stalled after pending input is read. */
    public final void runIfStillStalled(Connection<?> connection, long micros, Runnable task) {
        Transport.afterPendingReads(connection, () -> {
            if (isStalled(connection, micros)) {
                task.run();
            }
        });
    }

    @Override
    public final NextAction handleAccept(FilterChainContext context) {
        Decoder decoder = newDecoder();
        decoder.memoryShare = new InputMemory.Share(context.getConnection());
        decoders.set(context.getConnection(), decoder);
        return context.getInvokeAction();
    }

    @Override
    public final NextAction handleConnect(FilterChainContext context) {
        return handleAccept(context);
    }

    @Override
    public final NextAction handleRead(FilterChainContext context) throws IOException {
        Buffer in = context.getMessage();
        int bytes = in.remaining();
        Decoder decoder = decoders.peek(context.getConnection());
        List<Object> messages = decoder.read(in.toByteBuffer(), context, inputMemory);
        in.tryDispose();
        readPacer.onRead(context.getConnection(), bytes, messages.size());
        if (decoder.neededBytes > 0) {
            // Not under the decoder's lock, which a connection that is closing takes while its reading is changed.
            inputMemory.reserve(decoder.memoryShare, decoder.neededBytes);
        }
        if (messages.isEmpty()) {
            return context.getStopAction();
        }
        context.setMessage(messages);
        return context.getInvokeAction();
    }

    @Override
    public final NextAction handleWrite(FilterChainContext context) throws IOException {
        Object message = context.getMessage();
        context.setMessage(wrap(message instanceof MessageBatch batch ? encodeAll(batch) : encode(message)));
        return context.getInvokeAction();
    }

    private byte[] encodeAll(MessageBatch batch) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (Object message : batch.messages()) {
            bytes.writeBytes(encode(message));
        }
        return bytes.toByteArray();
    }

    @Override
    public final NextAction handleClose(FilterChainContext context) throws IOException {
        Decoder decoder = decoders.peek(context.getConnection());
        if (decoder != null) {
            decoder.release(inputMemory);
            inputMemory.close(decoder.memoryShare);
        }
        return context.getInvokeAction();
    }

    private static Buffer wrap(byte[] bytes) {
        return Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes);
    }

    /** Connections as {@link InputMemory} sees them. */
    private final class PacedConnections implements InputMemory.Connections {
        @Override
        public boolean isReadToEnd(Connection<?> connection) {
            return readPacer.isReadToEnd(connection);
        }

        @Override
        public void setAwaitingMemory(Connection<?> connection, boolean isAwaiting) {
            if (!isAwaiting) {
                decoders.peek(connection).onReadingResumed();
            }
            readPacer.setAwaitingMemory(connection, isAwaiting);
        }

        @Override
        public void reject(Connection<?> connection) {
            Object protocolError = decoders.peek(connection).reject(inputMemory);
            if (protocolError != null) {
                faultReceiver.onFault(connection, protocolError);
            }
        }
    }
}
