package crankwick.simulator;

import crankwick.routing.Router;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointUpdate;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.RequestAbandoned;
import crankwick.routing.api.ResponseStarted;
import crankwick.routing.api.RoutingEvent;
import crankwick.routing.api.TimerFired;
import crankwick.settings.SettingsCodec;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Hosts routers: decodes batches of input lines into routing events and writes the routers' actions as replies. */
final class SimulatorAdapter {
    /** A running router with the settings of its simulated proxy. */
    private record Instance(SettingsCodec settings, Router router) {}

    private final LineReader in;
    private final EventDecoder decoder;
    private final ReplyWriter out;
    private final Map<Long, Instance> instances = new HashMap<>();
    private final List<List<Endpoint>> endpointLists = new ArrayList<>();
    private long now;
    private long currentInstanceId;
    /** The instance that was selected last, to which input lines apply; null if it is not running. */
    private Instance currentInstance;

    SimulatorAdapter(InputStream in, OutputStream out) {
        this.in = new LineReader(in);
        this.out = new ReplyWriter(out);
        decoder = new EventDecoder(this.in);
    }

    /** Processes batches until the end of input. */
    void run() throws IOException {
        while (in.nextLine()) {
            if (in.isAtLineEnd()) {
                continue;
            }
            if (!in.nextToken().equals("sync")) {
                throw in.malformed("a batch must begin with sync");
            }
            now = in.nextDecimal(EventDecoder.MILLIS_DECIMAL_PLACES, 0);
            handleBatch();
            out.flush();
        }
    }

    private void handleBatch() throws IOException {
        while (true) {
            if (!in.nextLine()) {
                throw in.malformed("input ends within a batch");
            }
            if (in.isAtLineEnd()) {
                continue;
            }
            String message = in.nextToken();
            if (message.equals("go")) {
                return;
            }
            handleMessage(message);
        }
    }

    private void handleMessage(String message) throws IOException {
        switch (message) {
            case "instance" -> selectInstance();
            case "define_list" -> defineEndpointList();
            case "enlist" -> startInstance();
            case "crash_now" -> stopInstance();
            case "membership" -> handle(endpointUpdate());
            case "knock" -> handle(decoder.request(settings()));
            case "outcome" -> handle(decoder.outcome(settings()));
            case "pong" -> handle(decoder.healthCheck(settings()));
            case "timeout_fired" -> handle(new TimerFired(in.nextInteger()));
            case "expired" -> handle(new RequestAbandoned(in.nextRequestId()));
            case "established" -> handle(new ResponseStarted(in.nextRequestId()));
            case "whisper" -> {} // Ignored: routers send no messages to each other.
            default -> throw in.malformed("unknown message");
        }
    }

    private SettingsCodec settings() {
        return currentInstance == null ? null : currentInstance.settings;
    }

    private void handle(RoutingEvent event) {
        if (currentInstance == null) {
            return;
        }
        try {
            currentInstance.router.handle(now, event, out);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            e.printStackTrace();
            out.fatal(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void selectInstance() {
        currentInstanceId = in.nextInteger();
        currentInstance = instances.get(currentInstanceId);
        out.selectInstance(currentInstanceId);
    }

    private void startInstance() {
        long seed = in.nextInteger();
        String config = in.restOfLine();
        try {
            SettingsCodec settings = new SettingsCodec(config);
            currentInstance = new Instance(settings, new Router(settings.routingSettings(), seed));
        } catch (IllegalArgumentException e) {
            throw in.malformed(e.getMessage());
        }
        instances.put(currentInstanceId, currentInstance);
    }

    private void stopInstance() {
        instances.remove(currentInstanceId);
        currentInstance = null;
    }

    private void defineEndpointList() throws IOException {
        int listNumber = (int) in.nextInteger();
        int size = (int) in.nextInteger();
        if (listNumber < 0 || size < 0) {
            throw in.malformed("not a list");
        }
        List<Endpoint> endpoints = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            if (!in.nextLine() || !in.nextToken().equals("item")) {
                throw in.malformed("an item is missing");
            }
            endpoints.add(decoder.endpoint());
        }
        while (endpointLists.size() <= listNumber) {
            endpointLists.add(List.of());
        }
        endpointLists.set(listNumber, endpoints);
    }

    private EndpointUpdate endpointUpdate() {
        EndpointUpdateKind kind = WireValues.UPDATE_KINDS.get(in.nextToken());
        if (kind == null) {
            throw in.malformed("unknown kind of list");
        }
        in.nextToken();
        int listNumber = (int) in.nextInteger();
        if (kind == EndpointUpdateKind.UNAVAILABLE) {
            return new EndpointUpdate(kind, List.of());
        }
        if (listNumber < 0 || listNumber >= endpointLists.size()) {
            throw in.malformed("unknown list");
        }
        return new EndpointUpdate(kind, endpointLists.get(listNumber));
    }
}
