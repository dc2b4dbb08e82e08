package crankwick.client;

import crankwick.transport.Clock;
import crankwick.transport.EventLoop;
import crankwick.transport.Transport;
import java.net.SocketAddress;
import java.util.function.Consumer;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;

/**
 * Writes the answers of client connections, in the order of their commands and only so many bytes ahead of
 * what the clients take. Lives on the loop.
 */
final class AnswerWriter {
    /** What an answer takes besides its value, at most. */
    private static final int OVERHEAD_BYTES = 256;

    private final EventLoop loop;
    private final Clock clock;
    private final long linger;
    private final Consumer<ClientSession> whenRoom;

    /** After its last words a client has {@code linger}; {@code whenRoom} is told on the loop who may go on. */
    AnswerWriter(EventLoop loop, Clock clock, long linger, Consumer<ClientSession> whenRoom) {
        this.loop = loop;
        this.clock = clock;
        this.linger = linger;
        this.whenRoom = whenRoom;
    }

    /** Writes what is ready; where that is too much for now, {@code whenRoom} is told later. */
    void writeReady(ClientSession session) {
        while (!session.commands.isEmpty()
                && session.commands.peek().reply != null
                && session.cutAt == 0
                && session.mayWrite()) {
            ClientCommand command = session.commands.peek();
            if (--command.times == 0) {
                session.commands.poll();
            }
            session.idleSince = clock.now();
            if (command.reply instanceof ClientReply.Fatal) {
                end(session, command.reply);
            } else {
                write(session, command);
            }
        }
    }

    /** Says the last words and ends the sending; then the client has some time to take them and to close. */
    void end(ClientSession session, ClientReply words) {
        session.ending = true;
        session.cutAt = clock.now() + linger;
        session.connection.write(words, new EmptyCompletionHandler<WriteResult<ClientReply, SocketAddress>>() {
            @Override
            public void completed(WriteResult<ClientReply, SocketAddress> result) {
                Transport.endSending(session.connection);
            }

            @Override
            public void failed(Throwable fault) {
                session.connection.terminateSilently();
            }
        });
    }

    private void write(ClientSession session, ClientCommand command) {
        long bytes = OVERHEAD_BYTES + command.reply.valueBytes();
        session.writing(bytes, clock.now());
        var whenWritten = new EmptyCompletionHandler<WriteResult<ClientReply, SocketAddress>>() {
            @Override
            public void completed(WriteResult<ClientReply, SocketAddress> result) {
                session.releaseAnswer(command.reply.valueBytes());
                boolean room = session.written(bytes, clock.now());
                session.settled(command.message, 1);
                if (room) {
                    loop.execute(() -> whenRoom.accept(session));
                }
            }

            @Override
            public void failed(Throwable fault) {
                // Guards against a client that does not read: its unwritten answers must not pile up.
                session.connection.terminateSilently();
            }
        };
        session.connection.write(command.reply, whenWritten);
    }
}
