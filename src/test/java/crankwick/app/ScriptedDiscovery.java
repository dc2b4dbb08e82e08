package crankwick.app;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A discovery service on a loopback port, whose responses have the form that a test sets. */
final class ScriptedDiscovery extends LoopbackServer {
    /** How responses are written: up to {@link #BYTE_BY_BYTE} complete, the others without a readable list. */
    enum ResponseForm {
        CONTENT_LENGTH,
        CHUNKED,
        UNTIL_CLOSE,
        BYTE_BY_BYTE,
        EMPTY_BODY,
        TRUNCATED,
        TRUNCATED_WITHOUT_LENGTH,
        OVERSIZED,
        INVALID_BODY,
        UNAVAILABLE;

        boolean isComplete() {
            return ordinal() <= BYTE_BY_BYTE.ordinal();
        }
    }

    /** Supplies the list for a call with this query, or null for none; returns when the response is to be sent. */
    interface ListSource {
        String list(String query) throws InterruptedException;
    }

    private static final int OVERSIZED_BYTES = 3 << 20;

    volatile ResponseForm responseForm = ResponseForm.CONTENT_LENGTH;
    /** The pause between the two halves of a response. */
    volatile int midResponsePauseMillis;

    private final ListSource listSource;

    ScriptedDiscovery(ListSource listSource) throws IOException {
        this.listSource = listSource;
        start();
    }

    int port() {
        return listener.getLocalPort();
    }

    @Override
    void serve(Socket socket) throws IOException, InterruptedException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String target = in.readLine().split(" ")[1];
        while (!in.readLine().isEmpty()) {
            continue;
        }
        int query = target.indexOf('?');
        String list = listSource.list(query < 0 ? null : target.substring(query + 1));
        byte[] body = list.getBytes(StandardCharsets.UTF_8);
        write(socket.getOutputStream(), body, responseForm);
    }

    private void write(OutputStream out, byte[] body, ResponseForm form) throws IOException, InterruptedException {
        String status = "HTTP/1.1 " + (form == ResponseForm.UNAVAILABLE ? "503 Busy" : "200 OK") + "\r\n";
        String length = "Content-Length: " + body.length + "\r\n\r\n";
        switch (form) {
            case CHUNKED -> {
                out.write((status + "Transfer-Encoding: chunked\r\n\r\n").getBytes());
                for (int offset = 0; offset < body.length; offset += 100) {
                    byte[] chunk = Arrays.copyOfRange(body, offset, Math.min(body.length, offset + 100));
                    out.write((Integer.toHexString(chunk.length) + "\r\n").getBytes());
                    out.write(chunk);
                    out.write("\r\n".getBytes());
                }
                out.write("0\r\n\r\n".getBytes());
            }
            case UNTIL_CLOSE -> {
                out.write((status + "Connection: close\r\n\r\n").getBytes());
                out.write(body);
            }
            case BYTE_BY_BYTE -> {
                for (byte b : (status + length + new String(body, StandardCharsets.UTF_8)).getBytes()) {
                    out.write(b);
                    Thread.sleep(0, 200_000);
                }
            }
            case TRUNCATED, TRUNCATED_WITHOUT_LENGTH -> {
                out.write((status + (form == ResponseForm.TRUNCATED ? length : "\r\n")).getBytes());
                out.write(body, 0, body.length / 2);
            }
            case OVERSIZED -> {
                out.write((status + "Connection: close\r\n\r\n").getBytes());
                for (int written = 0; written < OVERSIZED_BYTES; written += body.length) {
                    out.write(body);
                }
            }
            case INVALID_BODY -> out.write((status + "Content-Length: 3\r\n\r\n{]\0").getBytes());
            case EMPTY_BODY -> out.write((status + "Content-Length: 0\r\n\r\n").getBytes());
            case UNAVAILABLE -> out.write((status + "Content-Length: 0\r\n\r\n").getBytes());
            default -> {
                out.write((status + length).getBytes());
                out.write(body, 0, body.length / 2);
                Thread.sleep(midResponsePauseMillis);
                out.write(body, body.length / 2, body.length - body.length / 2);
            }
        }
    }
}
