package crankwick.app;

import crankwick.broker.Reply;
import crankwick.client.ClientMessage;
import crankwick.client.ClientReply;
import crankwick.transport.CodecFilter;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import org.glassfish.grizzly.filterchain.FilterChainContext;

/** A client protocol with one command per line, which counts what the selector thread has accepted and read. */
final class LineProtocolCodec extends CodecFilter {
    static final String CANCEL = "cancel";
    /** Blocks the selector thread until {@link #selectorReleased} opens. */
    static final String BLOCK_SELECTOR = "hold";

    final CountDownLatch selectorReleased = new CountDownLatch(1);

    /** One permit per accepted connection. */
    final Semaphore acceptedConnections = new Semaphore(0);

    /** One permit per command read. */
    final Semaphore commandsRead = new Semaphore(0);

    @Override
    protected Decoder newDecoder() {
        acceptedConnections.release();
        return new LineDecoder();
    }

    private final class LineDecoder extends Decoder {
        private boolean loggedIn;

        @Override
        protected boolean decode(ByteBuffer in, FilterChainContext context) {
            byte[] bytes = new byte[in.remaining()];
            in.duplicate().get(bytes);
            int end = new String(bytes, StandardCharsets.US_ASCII).indexOf('\n');
            if (end < 0) {
                return false;
            }
            in.position(in.position() + end + 1);
            if (!loggedIn) {
                loggedIn = true;
                emit(new ClientMessage.Login(""));
            }
            String line = new String(bytes, 0, end, StandardCharsets.US_ASCII);
            if (line.equals(BLOCK_SELECTOR)) {
                commandsRead.release();
                blockSelector();
                return true;
            }
            if (line.equals(CANCEL)) {
                emit(new ClientMessage.Cancel());
            } else {
                emit(line.isEmpty() ? new ClientMessage.EmptyQuery() : new ClientMessage.Query(line));
            }
            commandsRead.release();
            return true;
        }

        private void blockSelector() {
            try {
                selectorReleased.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        protected int partialBytes() {
            return 0;
        }

        @Override
        protected Object protocolError(String fault) {
            return new ClientMessage.ProtocolError(fault);
        }
    }

    @Override
    public byte[] encode(Object value) {
        return (describe(value) + "\n").getBytes(StandardCharsets.US_ASCII);
    }

    private static String describe(Object value) {
        if (!(value instanceof ClientReply.RequestReply answer)) {
            return value.getClass().getSimpleName();
        }
        return answer.reply() instanceof Reply.Served served
                ? "Served " + new String(served.value(), StandardCharsets.US_ASCII)
                : answer.reply().getClass().getSimpleName();
    }
}
