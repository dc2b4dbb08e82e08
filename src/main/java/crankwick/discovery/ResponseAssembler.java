package crankwick.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * Assembles the response to a {@link DiscoveryCall}. A response that is neither chunked nor has a length ends when its
 * connection closes, for whatever reason: if the list was truncated, it fails to parse.
 */
final class ResponseAssembler extends BaseFilter {
    /** The maximum size of a response; an indented list of 1,024 databases takes a seventh of this. */
    private static final int MAX_BODY_BYTES = 2 << 20;

    private static final int STATUS_OK = 200;

    private final DiscoveryCall call;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private boolean endsWithConnection;

    ResponseAssembler(DiscoveryCall call) {
        this.call = call;
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        HttpContent content = context.getMessage();
        HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
        status = head.getStatus();
        endsWithConnection = !head.isChunked() && head.getContentLength() < 0;
        byte[] part = new byte[content.getContent().remaining()];
        content.getContent().get(part);
        body.writeBytes(part);
        if (body.size() > MAX_BODY_BYTES) {
            call.fail("response exceeds " + MAX_BODY_BYTES + " bytes");
        } else if (content.isLast()) {
            complete();
        }
        return context.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext context) {
        if (endsWithConnection) {
            complete();
        } else {
            call.fail("connection closed before the response was complete");
        }
        return context.getStopAction();
    }

    private void complete() {
        if (status == STATUS_OK) {
            call.respond(body.toString(StandardCharsets.UTF_8));
        } else {
            call.fail("HTTP status " + status);
        }
    }
}
