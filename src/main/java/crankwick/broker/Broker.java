package crankwick.broker;

import crankwick.failover.ArrivingRequest;
import crankwick.failover.AttemptObservation;
import crankwick.failover.AttemptPermit;
import crankwick.failover.FailoverActions;
import crankwick.failover.FailoverAdmission;
import crankwick.failover.FailoverCoordinator;
import crankwick.failover.FailoverSettings;
import crankwick.routing.Router;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptOutcome;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.ConsistencyLevel;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdate;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.HealthCheckResult;
import crankwick.routing.api.Idempotency;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.RequestAbandoned;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoutingActions;
import crankwick.routing.api.RoutingEvent;
import crankwick.routing.api.RoutingRequest;
import crankwick.routing.api.RoutingSettings;
import crankwick.routing.api.TimerFired;
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
        final ClientRequest call;
        final Account account;
        final long expires;
        final RequestHistory history;
        int attempts;
        boolean inFlight;
        boolean written;
        String server;
        long sentAt;
        /** When the first attempt that may have run was sent, or NONE. */
        long mayHaveRunSince = AbsentValue.NONE;
        /** Past its deadline, an attempt that was not known to have begun has been recalled. */
        boolean recalled;

        boolean answered;
        /** Not told to the router yet. */
        boolean held;

        Life(ClientRequest call, Account account, long expires, RequestHistory history) {
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

    private final RoutingSettings settings;
    private final Router router;
    private final Map<String, Contract> contracts;
    private final Map<String, Account> accounts = new HashMap<>();
    private final Map<Long, Life> lives = new HashMap<>();
    /** Of all lives: a second request by the same id would be a second attempt at a database. */
    private final Set<String> ids = new HashSet<>();

    private final ArrayDeque<RoutingEvent> toRouter = new ArrayDeque<>();
    private final RoutingActions actions = new RouterActions();
    private final BrokerCounters counters = new BrokerCounters();
    private final RequestHistoryLog historyLog = new RequestHistoryLog();
    /** Null where changes of primaries are left to the router alone. */
    private final FailoverCoordinator failover;

    private final FailoverActions decisions = new HandoverDecisions();
    private List<Effect> effects = new ArrayList<>();
    private long now;

    /**
     * Serves the teams of {@code contracts}; a front lets no other in. {@code changes} of primaries are
     * left to the router alone where null.
     */
    public Broker(RoutingSettings settings, long seed, Map<String, Contract> contracts, FailoverSettings changes) {
        this.settings = settings;
        this.contracts = Map.copyOf(contracts);
        router = new Router(settings, seed);
        failover = changes == null ? null : new FailoverCoordinator(changes, settings, seed);
    }

    /** Takes one event at the caller's time; the effects are to be carried out in order. */
    public List<Effect> reduce(BrokerEvent event, long time) {
        now = time;
        effects = new ArrayList<>(4);
        long group = AbsentValue.NONE;
        if (event instanceof BrokerEvent.RequestReceived e) {
            group = e.request().groupId();
            onTaken(e.request());
        } else if (event instanceof BrokerEvent.AttemptEnded e) {
            Life life = lives.get(e.requestId());
            group = life == null ? AbsentValue.NONE : life.call.groupId();
            onEnded(e);
        } else if (event instanceof BrokerEvent.AttemptWritten e) {
            onWritten(e);
        } else if (event instanceof BrokerEvent.RequestAbandoned e) {
            onLeft(e);
        } else if (event instanceof BrokerEvent.DeadlineReached e) {
            onDeadline(e.requestId());
        } else if (event instanceof BrokerEvent.RoutingTimerFired e) {
            toRouter.add(new TimerFired(e.timerId()));
        } else if (event instanceof BrokerEvent.HealthCheckEnded e) {
            LoadReport report = believed(e.report());
            if (failover != null) {
                group = failover.groupIdOf(e.endpointId());
                report = failover.onHealthCheckEnded(e.endpointId(), e.result(), e.duration(), report, now);
            }
            toRouter.add(new HealthCheckResult(e.endpointId(), e.result(), e.duration(), report));
        } else if (event instanceof BrokerEvent.EndpointsUpdated e) {
            toRouter.add(new EndpointUpdate(
                    e.kind(),
                    failover == null ? e.endpoints() : failover.onEndpointsUpdated(e.kind(), e.endpoints(), now)));
            recallFrom(e);
        }
        tellRouter();
        if (failover != null) {
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
        if (event instanceof BrokerEvent.FailoverTimerFired) {
            failover.onTimer(now, decisions);
        } else if (event instanceof BrokerEvent.EndpointsUpdated) {
            failover.decideAll(now, decisions);
        } else if (group != AbsentValue.NONE) {
            failover.decide(group, now, decisions);
        }
    }

    /** What is known of changes of primaries; null where they are left to the router alone. */
    public FailoverCoordinator failover() {
        return failover;
    }

    /** Requests that are still owed an answer. */
    public long unansweredRequests() {
        return lives.values().stream().filter(life -> !life.answered).count();
    }

    /** What has been counted so far. */
    public BrokerCounters counters() {
        return counters;
    }

    private void onTaken(ClientRequest call) {
        counters.countTaken();
        Contract contract = contracts.get(call.team());
        Account account = accounts.computeIfAbsent(call.team(), team -> new Account(contract, now));
        Reply objection = ids.contains(call.clientRequestId())
                ? new Reply.Failed(Reply.Reason.ID_IN_USE)
                : objection(account, call);
        if (objection != null) {
            reply(call.requestId(), objection);
            return;
        }
        long wait = contract.maxTimeout() > 0 ? Math.min(call.timeout(), contract.maxTimeout()) : call.timeout();
        Life life = new Life(call, account, now + wait, new RequestHistory(call, now));
        FailoverAdmission admission = failover == null
                ? FailoverAdmission.ADMIT
                : failover.admit(
                        new ArrivingRequest(
                                call.requestId(),
                                call.groupId(),
                                call.team(),
                                call.classIndex(),
                                call.idempotencyKey(),
                                call.statementBytes(),
                                life.expires),
                        now);
        if (admission == FailoverAdmission.REJECT) {
            reply(call.requestId(), noPrimary(call));
            return;
        } else if (admission == FailoverAdmission.FAIL) {
            reply(call.requestId(), new Reply.Failed(Reply.Reason.KEY_IN_DOUBT));
            return;
        }
        life.held = admission == FailoverAdmission.BUFFER;
        lives.put(call.requestId(), life);
        ids.add(call.clientRequestId());
        account.outstanding++;
        effects.add(new Effect.ScheduleTimer(wait, new BrokerEvent.DeadlineReached(call.requestId())));
        if (!life.held) {
            request(life);
        }
    }

    private Reply noPrimary(ClientRequest call) {
        return new Reply.Rejected(Reply.Reason.NO_PRIMARY, failover.retryAfter(call.groupId(), call.classIndex(), now));
    }

    private void request(Life life) {
        ClientRequest call = life.call;
        long tokenAge = call.requiredPosition() == AbsentValue.NONE
                ? AbsentValue.NONE
                : Math.max(1, now - call.requiredPosition());
        toRouter.add(new RoutingRequest(
                call.requestId(), call.classIndex(), call.groupId(), call.sessionId(), tokenAge, life.expires));
    }

    /** Why the contract forbids the call; null if it does not. A refusal says when there is room again. */
    private Reply objection(Account account, ClientRequest call) {
        Contract contract = account.contract;
        if (!contract.allowedClasses().isEmpty() && !contract.allowedClasses().contains(call.classIndex())) {
            return new Reply.Failed(Reply.Reason.CLASS_NOT_ALLOWED);
        }
        if (contract.maxOutstanding() > 0 && account.outstanding >= contract.maxOutstanding()) {
            return new Reply.Rejected(
                    Reply.Reason.OVER_OUTSTANDING,
                    settings.requestClasses().get(call.classIndex()).latencyObjective());
        }
        double rate = contract.ratePerSecond();
        if (rate > 0) {
            double most = Math.max(1, rate);
            account.tokens = Math.min(most, account.tokens + rate * (now - account.filledAt) / SECOND);
            account.filledAt = now;
            if (account.tokens < 1) {
                return new Reply.Rejected(
                        Reply.Reason.OVER_RATE, (long) Math.ceil((1 - account.tokens) * SECOND / rate));
            }
            account.tokens--;
        }
        return null;
    }

    /** What has not begun at a database that is to leave is decided anew, once the router has the list. */
    private void recallFrom(BrokerEvent.EndpointsUpdated e) {
        Map<String, EndpointStatus> told = new HashMap<>();
        e.endpoints().forEach(m -> told.put(m.id(), m.status()));
        EndpointStatus unnamed = e.kind() == EndpointUpdateKind.FULL ? EndpointStatus.REMOVED : EndpointStatus.LIVE;
        for (Life life : lives.values()) {
            EndpointStatus standing = told.getOrDefault(life.server, unnamed);
            boolean leaves = standing == EndpointStatus.DRAINING
                    || standing == EndpointStatus.REMOVED && !settings.rules().unlistedEndpointsUsable();
            if (life.inFlight && !life.written && leaves) {
                effects.add(new Effect.CancelQueued(life.call.requestId()));
            }
        }
    }

    private void onWritten(BrokerEvent.AttemptWritten e) {
        Life life = lives.get(e.requestId());
        if (life != null && life.inFlight && e.attempt() == life.attempts - 1) {
            life.written = true;
            life.history.written(now);
        }
    }

    private void onEnded(BrokerEvent.AttemptEnded e) {
        Life life = lives.get(e.requestId());
        if (life != null && life.inFlight && e.attempt() == life.attempts - 1) {
            end(life, e);
        }
    }

    /** Guards against a spoilt position: one from the future would make a database pass for fresh. */
    private long believed(long position) {
        return position <= now + AHEAD ? position : AbsentValue.NONE;
    }

    private LoadReport believed(LoadReport report) {
        return report == null || believed(report.position()) == report.position() ? report : null;
    }

    private void end(Life life, BrokerEvent.AttemptEnded e) {
        life.inFlight = false;
        life.history.ended(e.result(), now);
        if (life.mayHaveRunSince == AbsentValue.NONE && !e.result().provesNotExecuted()) {
            life.mayHaveRunSince = life.sentAt;
        }
        counters.count(e.result());
        Role role = e.role();
        LoadReport report = believed(e.report());
        boolean write = settings.requestClasses().get(life.call.classIndex()).consistency() == ConsistencyLevel.WRITE;
        if (failover != null) {
            role = failover.onAttemptObserved(
                    new AttemptObservation(life.server, write, life.sentAt, e.result(), role, believed(e.position())),
                    now);
            report = failover.onLoadReport(life.server, report, now);
            failover.onAttemptEnded(e.requestId(), e.result(), e.duration(), now);
        }
        if (e.result() == AttemptResult.OK) {
            answer(life, new Reply.Served(e.value(), write, believed(e.position())));
        }
        toRouter.add(new AttemptOutcome(
                e.requestId(),
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

    private void onLeft(BrokerEvent.RequestAbandoned e) {
        Life life = lives.get(e.requestId());
        if (life != null && !life.answered) {
            counters.count(e.reason());
            life.history.left(e.reason(), now);
            settled(life);
            if (life.inFlight && !life.written) {
                effects.add(new Effect.CancelQueued(e.requestId()));
            }
            toRouter.add(new RequestAbandoned(e.requestId()));
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
        boolean safe = settings.requestClasses().get(life.call.classIndex()).idempotency() == Idempotency.IDEMPOTENT;
        if (life.inFlight && life.written && safe && now < life.expires + LINGER) {
            effects.add(new Effect.ScheduleTimer(life.expires + LINGER - now, new BrokerEvent.DeadlineReached(ref)));
        } else if (life.inFlight && !life.written && !life.recalled) {
            // The command may be on its way, which only the pool can tell: what has not begun ends by this as
            // never sent, and whatever has is withdrawn right after as an attempt that may have run.
            life.recalled = true;
            effects.add(new Effect.CancelQueued(ref));
            effects.add(new Effect.ScheduleTimer(0, new BrokerEvent.DeadlineReached(ref)));
            return;
        } else if (life.inFlight) {
            withdraw(life, AttemptResult.TIMEOUT);
            tellRouter();
        }
        if (!life.answered) {
            boolean harmless = life.held && !failover.hasUnknownOutcome(ref);
            answer(life, harmless ? noPrimary(life.call) : new Reply.Failed(Reply.Reason.NO_OUTCOME));
            toRouter.add(new RequestAbandoned(ref));
            forget(life);
        }
    }

    private void withdraw(Life life, AttemptResult result) {
        int attempt = life.attempts - 1;
        effects.add(new Effect.CancelAttempt(life.call.requestId(), attempt));
        end(
                life,
                new BrokerEvent.AttemptEnded(
                        life.call.requestId(),
                        attempt,
                        result,
                        now - life.sentAt,
                        Role.UNKNOWN,
                        AbsentValue.NONE,
                        null,
                        null));
    }

    private void send(Life life, String server) {
        int attempt = life.attempts++;
        long beginBy = beginBy(life);
        boolean mayGo = !life.inFlight
                && !life.answered
                && now < beginBy
                && attempt < settings.limits().maxAttempts();
        if (!mayGo) {
            counters.count(AttemptResult.NOT_SENT);
            reportNotSent(life, attempt, server, life.answered);
            return;
        }
        AttemptPermit going =
                failover == null ? AttemptPermit.GRANTED : failover.permitAttempt(life.call.requestId(), server, now);
        if (going != AttemptPermit.GRANTED) {
            answer(
                    life,
                    going == AttemptPermit.KEY_EXPIRED
                            ? new Reply.Failed(Reply.Reason.KEY_IN_DOUBT)
                            : new Reply.Rejected(
                                    Reply.Reason.OVER_KEYS,
                                    settings.requestClasses()
                                            .get(life.call.classIndex())
                                            .latencyObjective()));
            reportNotSent(life, attempt, server, true);
            forget(life);
            return;
        }
        life.inFlight = true;
        life.written = false;
        life.server = server;
        life.sentAt = now;
        life.history.sent(server, now);
        counters.countSent();
        effects.add(new Effect.SendAttempt(life.call.requestId(), attempt, server, life.expires, beginBy));
    }

    private void reportNotSent(Life life, int attempt, String endpointId, boolean answered) {
        toRouter.add(new AttemptOutcome(
                life.call.requestId(),
                attempt,
                answered,
                AttemptResult.NOT_SENT,
                0,
                endpointId,
                Role.UNKNOWN,
                AbsentValue.NONE,
                null));
    }

    private long beginBy(Life life) {
        RequestClass kind = settings.requestClasses().get(life.call.classIndex());
        boolean repeat = kind.idempotency() == Idempotency.WITH_KEY && life.mayHaveRunSince != AbsentValue.NONE;
        return repeat ? Math.min(life.expires, life.mayHaveRunSince + kind.keyTtl()) : life.expires;
    }

    private void answer(Life life, Reply reply) {
        if (!life.answered) {
            settled(life);
            life.history.answered(reply, now);
            reply(life.call.requestId(), reply);
        }
    }

    /** The caller is owed nothing any more: the one place where its share of a budget is given back. */
    private void settled(Life life) {
        life.answered = true;
        life.account.outstanding--;
        if (failover != null) {
            failover.onAnswered(life.call.requestId());
        }
    }

    private void reply(long ref, Reply reply) {
        counters.count(reply);
        effects.add(new Effect.SendReply(ref, reply));
    }

    private void forget(Life life) {
        if (life.answered && !life.inFlight) {
            if (lives.remove(life.call.requestId()) != null) {
                ids.remove(life.call.clientRequestId());
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
    private final class RouterActions implements RoutingActions {
        @Override
        public void send(long id, String server, long patience) {
            Life life = lives.get(id);
            if (life != null) {
                Broker.this.send(life, server);
            }
        }

        @Override
        public void reject(long id, long retryAfter) {
            boolean doubtful = failover != null && failover.hasUnknownOutcome(id);
            close(
                    id,
                    doubtful
                            ? new Reply.Failed(Reply.Reason.KEY_IN_DOUBT)
                            : new Reply.Rejected(Reply.Reason.GIVEN_UP, retryAfter));
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
        public void cancelAttempt(long id, int attempt) {
            Life life = lives.get(id);
            if (life != null && life.inFlight && attempt == life.attempts - 1) {
                withdraw(life, AttemptResult.CANCELLED);
            }
        }

        @Override
        public void checkHealth(String server) {
            counters.countProbe();
            effects.add(new Effect.CheckHealth(server));
        }

        @Override
        public void scheduleTimer(long fromNow, long ref) {
            effects.add(new Effect.ScheduleTimer(fromNow, new BrokerEvent.RoutingTimerFired(ref)));
        }

        @Override
        public void watchEndpoints() {
            // The front's discovery watches by itself from its start on, pushed or asked.
        }

        @Override
        public void fetchEndpoints() {
            // Nor does it need to be told to ask for the whole list.
        }

        @Override
        public void log(String line) {
            effects.add(new Effect.Log(line));
        }
    }

    /** What follows of changes of primaries becomes events for the router, and effects. */
    private final class HandoverDecisions implements FailoverActions {
        @Override
        public void release(long ref) {
            Life life = lives.get(ref);
            life.held = false;
            request(life);
        }

        @Override
        public void reject(long ref, long retryAfter) {
            close(ref, new Reply.Rejected(Reply.Reason.NO_PRIMARY, retryAfter));
        }

        @Override
        public void failUnknownOutcome(long ref) {
            close(ref, new Reply.Failed(Reply.Reason.KEY_IN_DOUBT));
        }

        private void close(long ref, Reply reply) {
            Life life = lives.get(ref);
            boolean told = !life.held;
            answer(life, reply);
            if (told) {
                toRouter.add(new RequestAbandoned(ref));
            }
            forget(life);
        }

        @Override
        public void cancelAttempt(long ref) {
            Life life = lives.get(ref);
            if (life.inFlight) {
                Broker.this.withdraw(life, AttemptResult.CANCELLED);
            }
        }

        @Override
        public void scheduleTimer(long fromNow) {
            effects.add(new Effect.ScheduleTimer(fromNow, new BrokerEvent.FailoverTimerFired()));
        }

        @Override
        public void log(String line) {
            effects.add(new Effect.Log(line));
        }
    }
}
