package crankwick.simulator;

import crankwick.routing.Router;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptOutcome;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdate;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.HealthCheckResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.RequestAbandoned;
import crankwick.routing.api.ResponseStarted;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoutingEvent;
import crankwick.routing.api.RoutingRequest;
import crankwick.routing.api.TimerFired;
import crankwick.settings.SettingsCodec;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Turns batches of wire lines into events for the routers that it hosts, and their actions into replies. */
final class SimulatorAdapter {
    private static final Map<String, AttemptResult> RESULTS = Map.of(
            "Ok",
            AttemptResult.OK,
            "Failed",
            AttemptResult.ERROR,
            "QueueFull",
            AttemptResult.REJECTED_OVERLOADED,
            "TimedOut",
            AttemptResult.TIMEOUT,
            "ConnectError",
            AttemptResult.UNREACHABLE,
            "ResetByPeer",
            AttemptResult.RESET,
            "Canceled",
            AttemptResult.CANCELLED,
            "Ignored",
            AttemptResult.NOT_SENT,
            "Miss",
            AttemptResult.INELIGIBLE_REPLICA);
    private static final Map<String, EndpointUpdateKind> LIST_KINDS = Map.of(
            "update",
            EndpointUpdateKind.INCREMENTAL,
            "replace",
            EndpointUpdateKind.FULL,
            "restored",
            EndpointUpdateKind.RESTORED,
            "unavailable",
            EndpointUpdateKind.UNAVAILABLE);
    private static final Map<String, EndpointStatus> STANDINGS =
            Map.of("live", EndpointStatus.LIVE, "quiescing", EndpointStatus.DRAINING, "dead", EndpointStatus.REMOVED);
    private static final Role[] ROLES = {Role.UNKNOWN, Role.PRIMARY, Role.REPLICA, Role.UNKNOWN};
    private static final long ABSENT = Long.MIN_VALUE;

    private static final class Instance {
        final SettingsCodec codec;
        final Router router;

        Instance(SettingsCodec codec, Router router) {
            this.codec = codec;
            this.router = router;
        }
    }

    private final LineReader in;
    private final ReplyWriter out;
    private final Map<Long, Instance> instances = new HashMap<>();
    private final List<List<Endpoint>> lists = new ArrayList<>();
    private long now;
    private long id;
    private Instance current;

    SimulatorAdapter(InputStream in, OutputStream out) {
        this.in = new LineReader(in);
        this.out = new ReplyWriter(out);
    }

    /** Answers batches until the input ends. */
    void run() throws IOException {
        while (in.nextLine()) {
            if (in.atEnd()) {
                continue;
            }
            if (!in.word().equals("sync")) {
                throw in.malformed("a batch must begin with sync");
            }
            now = in.decimal(3, 0);
            batch();
            out.flush();
        }
    }

    private void batch() throws IOException {
        while (true) {
            if (!in.nextLine()) {
                throw in.malformed("input ends within a batch");
            }
            if (in.atEnd()) {
                continue;
            }
            String word = in.word();
            if (word.equals("go")) {
                return;
            }
            line(word);
        }
    }

    private void line(String word) throws IOException {
        switch (word) {
            case "instance" -> {
                id = in.integer();
                current = instances.get(id);
                out.at(id);
            }
            case "define_list" -> defineList();
            case "enlist" -> enlist();
            case "crash_now" -> {
                instances.remove(id);
                current = null;
            }
            case "membership" -> membership();
            case "knock" -> tell(knock());
            case "outcome" -> tell(outcome());
            case "pong" -> tell(pong());
            case "timeout_fired" -> tell(new TimerFired(in.integer()));
            case "expired" -> tell(new RequestAbandoned(in.hex()));
            case "established" -> tell(new ResponseStarted(in.hex()));
            case "whisper" -> {}
            default -> throw in.malformed("unknown message");
        }
    }

    private void tell(RoutingEvent event) {
        if (current == null) {
            return;
        }
        try {
            current.router.handle(now, event, out);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            e.printStackTrace();
            out.fatal(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void enlist() {
        long seed = in.integer();
        String config = in.text();
        try {
            SettingsCodec codec = new SettingsCodec(config);
            current = new Instance(codec, new Router(codec.routingSettings(), seed));
        } catch (IllegalArgumentException e) {
            throw in.malformed(e.getMessage());
        }
        instances.put(id, current);
    }

    private void defineList() throws IOException {
        int set = (int) in.integer();
        int count = (int) in.integer();
        if (set < 0 || count < 0) {
            throw in.malformed("not a list");
        }
        List<Endpoint> members = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            if (!in.nextLine() || !in.word().equals("item")) {
                throw in.malformed("an item is missing");
            }
            members.add(item());
        }
        while (lists.size() <= set) {
            lists.add(List.of());
        }
        lists.set(set, members);
    }

    private Endpoint item() {
        String server = in.word();
        int zone = (int) in.integer();
        in.word();
        long group = in.integer();
        Role role = in.decimal(0, 0) == 1 ? Role.PRIMARY : Role.UNKNOWN;
        EndpointStatus standing = STANDINGS.get(in.word());
        if (standing == null) {
            throw in.malformed("unknown lifecycle");
        }
        in.word();
        return new Endpoint(server, zone, group, role, standing, in.atEnd() ? 0 : in.decimal(3, 0));
    }

    private void membership() {
        EndpointUpdateKind kind = LIST_KINDS.get(in.word());
        if (kind == null) {
            throw in.malformed("unknown kind of list");
        }
        in.word();
        int set = (int) in.integer();
        boolean none = kind == EndpointUpdateKind.UNAVAILABLE;
        if (!none && (set < 0 || set >= lists.size())) {
            throw in.malformed("unknown list");
        }
        tell(new EndpointUpdate(kind, none ? List.of() : lists.get(set)));
    }

    private RoutingRequest knock() {
        long xid = in.hex();
        long tokenAge = in.decimal(3, AbsentValue.NONE);
        long group = in.integer();
        in.word();
        int classIndex = (int) in.integer();
        in.word();
        in.word();
        long expires = in.decimal(3, 0);
        long session = in.atEnd() ? AbsentValue.NONE : in.decimal(0, AbsentValue.NONE);
        if (current != null
                && (classIndex < 0
                        || classIndex
                                >= current.codec
                                        .routingSettings()
                                        .requestClasses()
                                        .size())) {
            throw in.malformed("unknown class");
        }
        return new RoutingRequest(xid, classIndex, group, session, tokenAge, expires);
    }

    private AttemptOutcome outcome() {
        long xid = in.hex();
        boolean over = in.bool();
        long note = in.decimal(0, 0);
        AttemptResult result = result();
        long duration = in.decimal(3, 0);
        String server = in.word();
        int copy = (int) in.integer();
        long position =
                note >> 2 == 0 || current == null ? AbsentValue.NONE : current.codec.timeOrigin() + (note >> 2) * 1000;
        return new AttemptOutcome(
                xid, copy, over, result, duration, server, ROLES[(int) (note & 3)], position, report());
    }

    private HealthCheckResult pong() {
        AttemptResult result = result();
        long duration = in.decimal(3, 0);
        return new HealthCheckResult(in.word(), result, duration, report());
    }

    private AttemptResult result() {
        AttemptResult result = RESULTS.get(in.word());
        if (result == null) {
            throw in.malformed("unknown result");
        }
        return result;
    }

    private LoadReport report() {
        long[] row = in.atEnd() ? null : in.row();
        if (row == null || current == null) {
            return null;
        }
        long position = AbsentValue.NONE;
        Role role = Role.UNKNOWN;
        double backlog = Double.NaN;
        double utilization = Double.NaN;
        double inFlight = Double.NaN;
        List<String> fields = current.codec.reportFields();
        for (int i = 0; i < Math.min(row.length, fields.size()); i++) {
            if (row[i] == ABSENT) {
                continue;
            }
            switch (fields.get(i)) {
                case "x0" -> position = current.codec.timeOrigin() + row[i];
                case "x1" -> role = row[i] == 1_000_000 ? Role.PRIMARY : Role.REPLICA;
                case "backlog" -> backlog = row[i] / 1e6;
                case "utilization" -> utilization = row[i] / 1e6;
                case "outstanding" -> inFlight = row[i] / 1e6;
                default -> {}
            }
        }
        return new LoadReport(position, role, backlog, utilization, inFlight);
    }
}
