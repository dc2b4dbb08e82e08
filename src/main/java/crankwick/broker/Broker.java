package crankwick.broker;

import crankwick.Router;
import crankwick.RouterApi;
import crankwick.RouterApi.ListKind;
import crankwick.RouterApi.Need;
import crankwick.RouterApi.Repeat;
import crankwick.RouterApi.Report;
import crankwick.RouterApi.RequestClass;
import crankwick.RouterApi.Result;
import crankwick.RouterApi.Role;
import crankwick.RouterApi.Settings;
import crankwick.RouterApi.Standing;
import crankwick.handover.Handover;
import crankwick.handover.HandoverSettings;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The reducer: every change of a request's state happens here, on one thread, as (event, now) to effects.
 *
 * <p>A {@link Life} holds at most one attempt in flight and one answer, and only {@link #send} and
 * {@link #answer} set them: a second attempt beside the first, or a second answer, cannot be asked for.
 */
public final class Broker {
    private static final long SECOND = 1_000_000;
    /** How far a database's clock may be ahead. */
    private static final long AHEAD = SECOND;
    /** How long past its deadline an attempt stays out: withdrawn work goes on, and costs the connection. */
    private static final long LINGER = SECOND;

    /** A request from its coming in until it is answered and has no attempt out. */
    private static final class Life {
        final Call call;
        final Account account;
        final long expires;
        final RequestHistory history;
        int attempts;
        boolean inFlight;
        boolean written;
        String server;
        long sentAt;
        /** When the first attempt that may have run was sent, or NONE. */
        long mayHaveRunSince = RouterApi.NONE;
        /** Past its deadline, an attempt that was not known to have begun has been recalled. */
        boolean recalled;

        boolean answered;
        /** Not told to the router yet. */
        boolean held;

        Life(Call call, Account account, long expires, RequestHistory history) {
            this.call = call;
            this.account = account;
            this.expires = expires;
            this.history = history;
        }
    }

    /** What a team has used of its contract. */
    private static final class Account {
        final Contract contract;
        double tokens;
        long filledAt;
        int outstanding;

        Account(Contract contract, long now) {
            this.contract = contract;
            tokens = Math.max(1, contract.ratePerSecond());
            filledAt = now;
        }
    }

    private final Settings settings;
    private final Router router;
    private final Map<String, Contract> contracts;
    private final Map<String, Account> accounts = new HashMap<>();
    private final Map<Long, Life> lives = new HashMap<>();
    /** Of all lives: a second request by the same id would be a second attempt at a database. */
    private final Set<String> ids = new HashSet<>();

    private final ArrayDeque<RouterApi.Event> toRouter = new ArrayDeque<>();
    private final RouterApi.Actions actions = new RouterActions();
    private final Counters counters = new Counters();
    private final HistoryLog historyLog = new HistoryLog();
    /** Null where changes of primaries are left to the router alone. */
    private final Handover handover;

    private final Handover.Decisions decisions = new HandoverDecisions();
    private List<Effect> effects = new ArrayList<>();
    private long now;

    /**
     * Serves the teams of {@code contracts}; a front lets no other in. {@code changes} of primaries are
     * left to the router alone where null.
     */
    public Broker(Settings settings, long seed, Map<String, Contract> contracts, HandoverSettings changes) {
        this.settings = settings;
        this.contracts = Map.copyOf(contracts);
        router = new Router(settings, seed);
        handover = changes == null ? null : new Handover(changes, settings, seed);
    }

    /** Takes one event at the caller's time; the effects are to be carried out in order. */
    public List<Effect> reduce(BrokerEvent event, long time) {
        now = time;
        effects = new ArrayList<>(4);
        long group = RouterApi.NONE;
        if (event instanceof BrokerEvent.Taken e) {
            group = e.call().group();
            onTaken(e.call());
        } else if (event instanceof BrokerEvent.Ended e) {
            Life life = lives.get(e.ref());
            group = life == null ? RouterApi.NONE : life.call.group();
            onEnded(e);
        } else if (event instanceof BrokerEvent.Written e) {
            onWritten(e);
        } else if (event instanceof BrokerEvent.Left e) {
            onLeft(e);
        } else if (event instanceof BrokerEvent.DeadlineDue e) {
            onDeadline(e.ref());
        } else if (event instanceof BrokerEvent.RouterDue e) {
            toRouter.add(new RouterApi.Timer(e.ref()));
        } else if (event instanceof BrokerEvent.Probed e) {
            Report report = believed(e.report());
            if (handover != null) {
                group = handover.groupOf(e.server());
                report = handover.probed(e.server(), e.result(), e.duration(), report, now);
            }
            toRouter.add(new RouterApi.ProbeResult(e.server(), e.result(), e.duration(), report));
        } else if (event instanceof BrokerEvent.Listed e) {
            toRouter.add(new RouterApi.Membership(
                    e.kind(), handover == null ? e.members() : handover.listed(e.kind(), e.members(), now)));
            recallFrom(e);
        }
        tellRouter();
        if (handover != null) {
            decideChanges(event, group);
            tellRouter();
        }
        return effects;
    }

    private void tellRouter() {
        while (!toRouter.isEmpty()) {
            router.handle(now, toRouter.poll(), actions);
        }
    }

    private void decideChanges(BrokerEvent event, long group) {
        if (event instanceof BrokerEvent.HandoverDue) {
            handover.onDue(now, decisions);
        } else if (event instanceof BrokerEvent.Listed) {
            handover.decideAll(now, decisions);
        } else if (group != RouterApi.NONE) {
            handover.decide(group, now, decisions);
        }
    }

    /** What is known of changes of primaries; null where they are left to the router alone. */
    public Handover handover() {
        return handover;
    }

    /** Requests that are still owed an answer. */
    public long owed() {
        return lives.values().stream().filter(life -> !life.answered).count();
    }

    /** What has been counted so far. */
    public Counters counters() {
        return counters;
    }

    private void onTaken(Call call) {
        counters.countTaken();
        Contract contract = contracts.get(call.team());
        Account account = accounts.computeIfAbsent(call.team(), team -> new Account(contract, now));
        Reply objection = ids.contains(call.id()) ? new Reply.Failed(Reply.Reason.ID_IN_USE) : objection(account, call);
        if (objection != null) {
            reply(call.ref(), objection);
            return;
        }
        long wait = contract.deadlineCap() > 0 ? Math.min(call.patience(), contract.deadlineCap()) : call.patience();
        Life life = new Life(call, account, now + wait, new RequestHistory(call, now));
        Handover.Admission admission = handover == null
                ? Handover.Admission.PASS
                : handover.admit(
                        new Handover.Arrival(
                                call.ref(),
                                call.group(),
                                call.team(),
                                call.cls(),
                                call.key(),
                                call.bytes(),
                                life.expires),
                        now);
        if (admission == Handover.Admission.REFUSE) {
            reply(call.ref(), noPrimary(call));
            return;
        } else if (admission == Handover.Admission.FAIL) {
            reply(call.ref(), new Reply.Failed(Reply.Reason.KEY_IN_DOUBT));
            return;
        }
        life.held = admission == Handover.Admission.HOLD;
        lives.put(call.ref(), life);
        ids.add(call.id());
        account.outstanding++;
        effects.add(new Effect.Arm(wait, new BrokerEvent.DeadlineDue(call.ref())));
        if (!life.held) {
            request(life);
        }
    }

    private Reply noPrimary(Call call) {
        return new Reply.Refused(Reply.Reason.NO_PRIMARY, handover.retryAfter(call.group(), call.cls(), now));
    }

    private void request(Life life) {
        Call call = life.call;
        long tokenAge = call.after() == RouterApi.NONE ? RouterApi.NONE : Math.max(1, now - call.after());
        toRouter.add(
                new RouterApi.Request(call.ref(), call.cls(), call.group(), call.session(), tokenAge, life.expires));
    }

    /** Why the contract forbids the call; null if it does not. A refusal says when there is room again. */
    private Reply objection(Account account, Call call) {
        Contract contract = account.contract;
        if (!contract.classes().isEmpty() && !contract.classes().contains(call.cls())) {
            return new Reply.Failed(Reply.Reason.CLASS_NOT_ALLOWED);
        }
        if (contract.outstanding() > 0 && account.outstanding >= contract.outstanding()) {
            return new Reply.Refused(
                    Reply.Reason.OVER_OUTSTANDING,
                    settings.classes().get(call.cls()).aim());
        }
        double rate = contract.ratePerSecond();
        if (rate > 0) {
            double most = Math.max(1, rate);
            account.tokens = Math.min(most, account.tokens + rate * (now - account.filledAt) / SECOND);
            account.filledAt = now;
            if (account.tokens < 1) {
                return new Reply.Refused(
                        Reply.Reason.OVER_RATE, (long) Math.ceil((1 - account.tokens) * SECOND / rate));
            }
            account.tokens--;
        }
        return null;
    }

    /** What has not begun at a database that is to leave is decided anew, once the router has the list. */
    private void recallFrom(BrokerEvent.Listed e) {
        Map<String, Standing> told = new HashMap<>();
        e.members().forEach(m -> told.put(m.server(), m.standing()));
        Standing unnamed = e.kind() == ListKind.FULL ? Standing.GONE : Standing.LIVE;
        for (Life life : lives.values()) {
            Standing standing = told.getOrDefault(life.server, unnamed);
            boolean leaves = standing == Standing.DRAINING
                    || standing == Standing.GONE && !settings.rules().onlyDrainingBinds();
            if (life.inFlight && !life.written && leaves) {
                effects.add(new Effect.Recall(life.call.ref()));
            }
        }
    }

    private void onWritten(BrokerEvent.Written e) {
        Life life = lives.get(e.ref());
        if (life != null && life.inFlight && e.attempt() == life.attempts - 1) {
            life.written = true;
            life.history.written(now);
        }
    }

    private void onEnded(BrokerEvent.Ended e) {
        Life life = lives.get(e.ref());
        if (life != null && life.inFlight && e.attempt() == life.attempts - 1) {
            end(life, e);
        }
    }

    /** Guards against a spoilt position: one from the future would make a database pass for fresh. */
    private long believed(long position) {
        return position <= now + AHEAD ? position : RouterApi.NONE;
    }

    private Report believed(Report report) {
        return report == null || believed(report.position()) == report.position() ? report : null;
    }

    private void end(Life life, BrokerEvent.Ended e) {
        life.inFlight = false;
        life.history.ended(e.result(), now);
        if (life.mayHaveRunSince == RouterApi.NONE && !e.result().provesNotRun()) {
            life.mayHaveRunSince = life.sentAt;
        }
        counters.count(e.result());
        Role role = e.role();
        Report report = believed(e.report());
        boolean write = settings.classes().get(life.call.cls()).need() == Need.WRITE;
        if (handover != null) {
            role = handover.heard(life.server, write, life.sentAt, e.result(), role, believed(e.position()), now);
            report = handover.believed(life.server, report, now);
            handover.ended(e.ref(), e.result(), e.duration(), now);
        }
        if (e.result() == Result.OK) {
            answer(life, new Reply.Served(e.value(), write, believed(e.position())));
        }
        toRouter.add(new RouterApi.Outcome(
                e.ref(),
                e.attempt(),
                life.answered,
                e.result(),
                e.duration(),
                life.server,
                role,
                believed(e.position()),
                report));
        forget(life);
    }

    private void onLeft(BrokerEvent.Left e) {
        Life life = lives.get(e.ref());
        if (life != null && !life.answered) {
            counters.count(e.cause());
            life.history.left(e.cause(), now);
            settled(life);
            if (life.inFlight && !life.written) {
                effects.add(new Effect.Recall(e.ref()));
            }
            toRouter.add(new RouterApi.Gone(e.ref()));
            forget(life);
        }
    }

    /**
     * What the module has not answered by its deadline has failed. A safe attempt that is written may then
     * still end by itself, for {@link #LINGER}: its answer teaches, and its connection is kept.
     */
    private void onDeadline(long ref) {
        Life life = lives.get(ref);
        if (life == null) {
            return;
        }
        boolean safe = settings.classes().get(life.call.cls()).repeat() == Repeat.SAFE;
        if (life.inFlight && life.written && safe && now < life.expires + LINGER) {
            effects.add(new Effect.Arm(life.expires + LINGER - now, new BrokerEvent.DeadlineDue(ref)));
        } else if (life.inFlight && !life.written && !life.recalled) {
            // The command may be on its way, which only the pool can tell: what has not begun ends by this as
            // never sent, and whatever has is withdrawn right after as an attempt that may have run.
            life.recalled = true;
            effects.add(new Effect.Recall(ref));
            effects.add(new Effect.Arm(0, new BrokerEvent.DeadlineDue(ref)));
            return;
        } else if (life.inFlight) {
            withdraw(life, Result.TIMEOUT);
            tellRouter();
        }
        if (!life.answered) {
            boolean harmless = life.held && !handover.isDoubtful(ref);
            answer(life, harmless ? noPrimary(life.call) : new Reply.Failed(Reply.Reason.NO_OUTCOME));
            toRouter.add(new RouterApi.Gone(ref));
            forget(life);
        }
    }

    private void withdraw(Life life, Result result) {
        int attempt = life.attempts - 1;
        effects.add(new Effect.Withdraw(life.call.ref(), attempt));
        end(
                life,
                new BrokerEvent.Ended(
                        life.call.ref(), attempt, result, now - life.sentAt, Role.UNKNOWN, RouterApi.NONE, null, null));
    }

    private void send(Life life, String server) {
        int attempt = life.attempts++;
        long beginBy = beginBy(life);
        boolean mayGo = !life.inFlight
                && !life.answered
                && now < beginBy
                && attempt < settings.limits().maxAttempts();
        if (!mayGo) {
            counters.count(Result.NOT_SENT);
            toRouter.add(new RouterApi.Outcome(
                    life.call.ref(),
                    attempt,
                    life.answered,
                    Result.NOT_SENT,
                    0,
                    server,
                    Role.UNKNOWN,
                    RouterApi.NONE,
                    null));
            return;
        }
        Handover.Going going = handover == null ? Handover.Going.GO : handover.send(life.call.ref(), server, now);
        if (going != Handover.Going.GO) {
            answer(
                    life,
                    going == Handover.Going.WINDOW_OVER
                            ? new Reply.Failed(Reply.Reason.KEY_IN_DOUBT)
                            : new Reply.Refused(
                                    Reply.Reason.OVER_KEYS,
                                    settings.classes().get(life.call.cls()).aim()));
            toRouter.add(new RouterApi.Outcome(
                    life.call.ref(), attempt, true, Result.NOT_SENT, 0, server, Role.UNKNOWN, RouterApi.NONE, null));
            forget(life);
            return;
        }
        life.inFlight = true;
        life.written = false;
        life.server = server;
        life.sentAt = now;
        life.history.sent(server, now);
        counters.countSent();
        effects.add(new Effect.Send(life.call.ref(), attempt, server, life.expires, beginBy));
    }

    private long beginBy(Life life) {
        RequestClass kind = settings.classes().get(life.call.cls());
        boolean repeat = kind.repeat() == Repeat.KEYED && life.mayHaveRunSince != RouterApi.NONE;
        return repeat ? Math.min(life.expires, life.mayHaveRunSince + kind.keyTtl()) : life.expires;
    }

    private void answer(Life life, Reply reply) {
        if (!life.answered) {
            settled(life);
            life.history.answered(reply, now);
            reply(life.call.ref(), reply);
        }
    }

    /** The caller is owed nothing any more: the one place where its share of a budget is given back. */
    private void settled(Life life) {
        life.answered = true;
        life.account.outstanding--;
        if (handover != null) {
            handover.answered(life.call.ref());
        }
    }

    private void reply(long ref, Reply reply) {
        counters.count(reply);
        effects.add(new Effect.Answer(ref, reply));
    }

    private void forget(Life life) {
        if (life.answered && !life.inFlight) {
            if (lives.remove(life.call.ref()) != null) {
                ids.remove(life.call.id());
                logHistory(life);
            }
        }
    }

    private void logHistory(Life life) {
        String line = historyLog.lineFor(life.history, now);
        if (line != null) {
            effects.add(new Effect.Log(line));
        }
    }

    /** The decision module's actions become effects; what concerns a request that is over is dropped. */
    private final class RouterActions implements RouterApi.Actions {
        @Override
        public void send(long id, String server, long patience) {
            Life life = lives.get(id);
            if (life != null) {
                Broker.this.send(life, server);
            }
        }

        @Override
        public void refuse(long id, long retryAfter) {
            boolean doubtful = handover != null && handover.isDoubtful(id);
            close(
                    id,
                    doubtful
                            ? new Reply.Failed(Reply.Reason.KEY_IN_DOUBT)
                            : new Reply.Refused(Reply.Reason.GIVEN_UP, retryAfter));
        }

        @Override
        public void fail(long id) {
            close(id, new Reply.Failed(Reply.Reason.GIVEN_UP));
        }

        private void close(long id, Reply reply) {
            Life life = lives.get(id);
            if (life != null) {
                answer(life, reply);
                forget(life);
            }
        }

        @Override
        public void cancel(long id, int attempt) {
            Life life = lives.get(id);
            if (life != null && life.inFlight && attempt == life.attempts - 1) {
                withdraw(life, Result.CANCELLED);
            }
        }

        @Override
        public void probe(String server) {
            counters.countProbe();
            effects.add(new Effect.Probe(server));
        }

        @Override
        public void arm(long fromNow, long ref) {
            effects.add(new Effect.Arm(fromNow, new BrokerEvent.RouterDue(ref)));
        }

        @Override
        public void watch() {
            // The front's discovery watches by itself from its start on, pushed or asked.
        }

        @Override
        public void fetch() {
            // Nor does it need to be told to ask for the whole list.
        }

        @Override
        public void log(String line) {
            effects.add(new Effect.Log(line));
        }
    }

    /** What follows of changes of primaries becomes events for the router, and effects. */
    private final class HandoverDecisions implements Handover.Decisions {
        @Override
        public void release(long ref) {
            Life life = lives.get(ref);
            life.held = false;
            request(life);
        }

        @Override
        public void refuse(long ref, long retryAfter) {
            close(ref, new Reply.Refused(Reply.Reason.NO_PRIMARY, retryAfter));
        }

        @Override
        public void failDoubtful(long ref) {
            close(ref, new Reply.Failed(Reply.Reason.KEY_IN_DOUBT));
        }

        private void close(long ref, Reply reply) {
            Life life = lives.get(ref);
            boolean told = !life.held;
            answer(life, reply);
            if (told) {
                toRouter.add(new RouterApi.Gone(ref));
            }
            forget(life);
        }

        @Override
        public void withdraw(long ref) {
            Life life = lives.get(ref);
            if (life.inFlight) {
                Broker.this.withdraw(life, Result.CANCELLED);
            }
        }

        @Override
        public void arm(long fromNow) {
            effects.add(new Effect.Arm(fromNow, new BrokerEvent.HandoverDue()));
        }

        @Override
        public void log(String line) {
            effects.add(new Effect.Log(line));
        }
    }
}
