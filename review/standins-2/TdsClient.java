import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;

/** A client that speaks TDS and sends one request at a time. */
final class TdsClient {
    private final Socket socket;
    private final DataInputStream in;

    TdsClient(int port, String team) throws IOException {
        socket = Pg.connect(port);
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        socket.getOutputStream().write(Tds.prelogin(Tds.PRELOGIN));
        Tds.read(in);
        socket.getOutputStream().write(Tds.login(team));
        Tds.read(in);
    }

    /** Sends a request and waits for its answer. */
    void call(Client.Request request) throws IOException {
        request.sentAt = Rig.now();
        socket.getOutputStream().write(Tds.batch(request.statement));
        Tds.Message answer = Tds.read(in);
        request.answeredAt = Rig.now();
        if (answer == null) {
            request.answer = "CLOSED";
            throw new IOException("closed");
        }
        ByteBuffer body = answer.body();
        request.answer = "SERVED";
        while (body.hasRemaining()) {
            int type = body.get() & 0xFF;
            if (type != Tds.INFO && type != Tds.ERROR) {
                return;
            }
            int end = body.getShort(body.position()) + body.position() + 2;
            int number = body.getInt(body.position() + 2);
            if (type == Tds.ERROR) {
                request.answer = number / 100 == 501 ? "REFUSED" : "FAILED";
                request.code = String.valueOf(number);
                return;
            }
            body.position(end);
        }
    }
}
