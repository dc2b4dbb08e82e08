package crankwick.simhost;

import crankwick.Router;
import crankwick.RouterApi;
import crankwick.RouterApi.ListKind;
import crankwick.RouterApi.Report;
import crankwick.RouterApi.Result;
import crankwick.RouterApi.Role;
import crankwick.RouterApi.Standing;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Turns batches of wire lines into events for the routers that it hosts, and their actions into replies. */
final class Host {
    private static final Map<String, Result> RESULTS = Map.of(
            "Ok",
            Result.OK,
            "Failed",
            Result.ERROR,
            "QueueFull",
            Result.FULL,
            "TimedOut",
            Result.TIMEOUT,
            "ConnectError",
            Result.UNREACHABLE,
            "ResetByPeer",
            Result.RESET,
            "Canceled",
            Result.CANCELLED,
            "Ignored",
            Result.NOT_SENT,
            "Miss",
            Result.MISS);
    private static final Map<String, ListKind> LIST_KINDS = Map.of(
            "update",
            ListKind.CHANGES,
            "replace",
            ListKind.FULL,
            "restored",
            ListKind.RESTORED,
            "unavailable",
            ListKind.UNAVAILABLE);
    private static final Map<String, Standing> STANDINGS =
            Map.of("live", Standing.LIVE, "quiescing", Standing.DRAINING, "dead", Standing.GONE);
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
    private final List<List<RouterApi.Member>> lists = new ArrayList<>();
    private long now;
    private long id;
    private Instance current;

    Host(InputStream in, OutputStream out) {
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
            case "timeout_fired" -> tell(new RouterApi.Timer(in.integer()));
            case "expired" -> tell(new RouterApi.Gone(in.hex()));
            case "established" -> tell(new RouterApi.Started(in.hex()));
            case "whisper" -> {}
            default -> throw in.malformed("unknown message");
        }
    }

    private void tell(RouterApi.Event event) {
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
            current = new Instance(codec, new Router(codec.settings, seed));
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
        List<RouterApi.Member> members = new ArrayList<>(count);
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

    private RouterApi.Member item() {
        String server = in.word();
        int zone = (int) in.integer();
        in.word();
        long group = in.integer();
        Role role = in.decimal(0, 0) == 1 ? Role.PRIMARY : Role.UNKNOWN;
        Standing standing = STANDINGS.get(in.word());
        if (standing == null) {
            throw in.malformed("unknown lifecycle");
        }
        in.word();
        return new RouterApi.Member(server, zone, group, role, standing, in.atEnd() ? 0 : in.decimal(3, 0));
    }

    private void membership() {
        ListKind kind = LIST_KINDS.get(in.word());
        if (kind == null) {
            throw in.malformed("unknown kind of list");
        }
        in.word();
        int set = (int) in.integer();
        boolean none = kind == ListKind.UNAVAILABLE;
        if (!none && (set < 0 || set >= lists.size())) {
            throw in.malformed("unknown list");
        }
        tell(new RouterApi.Membership(kind, none ? List.of() : lists.get(set)));
    }

    private RouterApi.Request knock() {
        long xid = in.hex();
        long tokenAge = in.decimal(3, RouterApi.NONE);
        long group = in.integer();
        in.word();
        int cls = (int) in.integer();
        in.word();
        in.word();
        long expires = in.decimal(3, 0);
        long session = in.atEnd() ? RouterApi.NONE : in.decimal(0, RouterApi.NONE);
        if (current != null
                && (cls < 0 || cls >= current.codec.settings.classes().size())) {
            throw in.malformed("unknown class");
        }
        return new RouterApi.Request(xid, cls, group, session, tokenAge, expires);
    }

    private RouterApi.Outcome outcome() {
        long xid = in.hex();
        boolean over = in.bool();
        long note = in.decimal(0, 0);
        Result result = result();
        long duration = in.decimal(3, 0);
        String server = in.word();
        int copy = (int) in.integer();
        long position = note >> 2 == 0 || current == null ? RouterApi.NONE : current.codec.zero + (note >> 2) * 1000;
        return new RouterApi.Outcome(
                xid, copy, over, result, duration, server, ROLES[(int) (note & 3)], position, report());
    }

    private RouterApi.ProbeResult pong() {
        Result result = result();
        long duration = in.decimal(3, 0);
        return new RouterApi.ProbeResult(in.word(), result, duration, report());
    }

    private Result result() {
        Result result = RESULTS.get(in.word());
        if (result == null) {
            throw in.malformed("unknown result");
        }
        return result;
    }

    private Report report() {
        long[] row = in.atEnd() ? null : in.row();
        if (row == null || current == null) {
            return null;
        }
        long position = RouterApi.NONE;
        Role role = Role.UNKNOWN;
        double backlog = Double.NaN;
        double utilization = Double.NaN;
        double inFlight = Double.NaN;
        List<String> fields = current.codec.reportFields;
        for (int i = 0; i < Math.min(row.length, fields.size()); i++) {
            if (row[i] == ABSENT) {
                continue;
            }
            switch (fields.get(i)) {
                case "x0" -> position = current.codec.zero + row[i];
                case "x1" -> role = row[i] == 1_000_000 ? Role.PRIMARY : Role.REPLICA;
                case "backlog" -> backlog = row[i] / 1e6;
                case "utilization" -> utilization = row[i] / 1e6;
                case "outstanding" -> inFlight = row[i] / 1e6;
                default -> {}
            }
        }
        return new Report(position, role, backlog, utilization, inFlight);
    }
}
