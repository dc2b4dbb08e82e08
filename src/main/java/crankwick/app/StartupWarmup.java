package crankwick.app;

import crankwick.broker.Broker;
import crankwick.broker.BrokerEvent;
import crankwick.broker.ClientRequest;
import crankwick.broker.Contract;
import crankwick.broker.Effect;
import crankwick.client.ClientReply;
import crankwick.database.DatabaseCommand;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import crankwick.settings.SettingsCodec;
import crankwick.statement.Statement;
import crankwick.transport.CodecFilter;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Runs synthetic requests through a separate broker before the proxy is ready, so that the hot path is compiled
 * before the first real requests.
 */
final class StartupWarmup {
    private static final int REQUESTS = 100;
    private static final int ENDPOINTS = 6;
    private static final long START_MICROS = 1_000_000_000_000_000L;
    private static final long STEP_MICROS = 5_000;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long REQUIRED_POSITION_AGE_MILLIS = 900;
    private static final int ATTEMPT_TIMEOUT_MILLIS = 400;
    private static final int VALUE_BYTES = 8;
    /** The attempts of every RESET_INTERVAL-th request end with {@code RESET}. */
    private static final int RESET_INTERVAL = 50;

    /**
     * The attempts of every INELIGIBLE_INTERVAL-th request end with {@code INELIGIBLE_REPLICA}, unless RESET_INTERVAL
     * applies.
     */
    private static final int INELIGIBLE_INTERVAL = 20;

    private final List<String> classNames;
    private final Broker broker;
    private final CodecFilter clientCodec;
    private final CodecFilter databaseCodec;
    private final ArrayDeque<BrokerEvent> pendingEvents = new ArrayDeque<>();
    private long now = START_MICROS;

    StartupWarmup(SettingsCodec settings, CodecFilter clientCodec, CodecFilter databaseCodec) {
        classNames = settings.requestClassNames();
        this.clientCodec = clientCodec;
        this.databaseCodec = databaseCodec;
        broker = new Broker(settings.routingSettings(), 1, Map.of("", Contract.UNLIMITED), null);
    }

    void run() {
        List<Endpoint> endpoints = IntStream.range(0, ENDPOINTS)
                .mapToObj(
                        i -> new Endpoint("m" + i, 0, 0, i == 0 ? Role.PRIMARY : Role.UNKNOWN, EndpointStatus.LIVE, 0))
                .toList();
        handle(new BrokerEvent.EndpointsUpdated(EndpointUpdateKind.FULL, endpoints));
        for (int i = 1; i <= REQUESTS; i++) {
            now += STEP_MICROS;
            int classIndex = i % classNames.size();
            Statement statement = Statement.parse("/* id=9b1f03aa5c7e2d41,c=" + classNames.get(classIndex)
                    + ",d=480,cluster=0,k=5c0f6e1a2b3d4c59,after="
                    + (now / MICROS_PER_MILLI - REQUIRED_POSITION_AGE_MILLIS)
                    + " */ SELECT val FROM state WHERE uid = '7f3a9c21e0b4d655'");
            databaseCodec.encode(new DatabaseCommand.Execute(statement.withTimeout(ATTEMPT_TIMEOUT_MILLIS)));
            handle(new BrokerEvent.RequestReceived(new ClientRequest(
                    i,
                    Integer.toString(i),
                    "",
                    classIndex,
                    statement.groupId(),
                    statement.sessionHash(),
                    statement.requiredPositionMillis() * MICROS_PER_MILLI,
                    statement.timeoutMillis() * MICROS_PER_MILLI,
                    statement.idempotencyKey(),
                    0)));
            for (int events = pendingEvents.size(); events > 0; events--) {
                handle(pendingEvents.poll());
            }
        }
    }

    private void handle(BrokerEvent event) {
        for (Effect effect : broker.reduce(event, now)) {
            if (effect instanceof Effect.SendAttempt send) {
                pendingEvents.add(new BrokerEvent.AttemptWritten(send.requestId(), send.attempt()));
                pendingEvents.add(attemptEnded(send));
            } else if (effect instanceof Effect.SendReply reply) {
                clientCodec.encode(new ClientReply.RequestReply(reply.reply()));
            } else if (effect instanceof Effect.CheckHealth check) {
                pendingEvents.add(new BrokerEvent.HealthCheckEnded(
                        check.endpointId(), AttemptResult.OK, STEP_MICROS, loadReport(check.endpointId())));
            } else if (effect instanceof Effect.ScheduleTimer timer
                    && timer.event() instanceof BrokerEvent.RoutingTimerFired) {
                pendingEvents.add(timer.event());
            }
        }
    }

    /**
     * Creates the event that ends an attempt. The result depends only on the request id:
     * {@link #RESET_INTERVAL} selects the requests whose attempts are reset, {@link #INELIGIBLE_INTERVAL} those whose
     * attempts reach an ineligible replica; all other attempts succeed.
     */
    private BrokerEvent attemptEnded(Effect.SendAttempt send) {
        AttemptResult result = send.requestId() % RESET_INTERVAL == 0
                ? AttemptResult.RESET
                : send.requestId() % INELIGIBLE_INTERVAL == 0 ? AttemptResult.INELIGIBLE_REPLICA : AttemptResult.OK;
        LoadReport report = loadReport(send.endpointId());
        return new BrokerEvent.AttemptEnded(
                send.requestId(),
                send.attempt(),
                result,
                STEP_MICROS,
                report.role(),
                report.position(),
                report,
                new byte[VALUE_BYTES]);
    }

    private LoadReport loadReport(String endpointId) {
        Role role = endpointId.equals("m0") ? Role.PRIMARY : Role.REPLICA;
        return new LoadReport(now - STEP_MICROS, role, Double.NaN, Double.NaN, Double.NaN);
    }
}
