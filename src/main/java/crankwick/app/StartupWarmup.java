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
 * Puts a broker of its own through made-up requests before the proxy says that it is ready. It guards against
 * answers lost in the first second: two proxies that interpret and compile this code on one core while
 * requests come in were seen to run half a second late.
 */
final class StartupWarmup {
    private static final int REQUESTS = 100;
    private static final long STEP = 5_000;
    private static final int MEMBERS = 6;

    private final List<String> names;
    private final Broker broker;
    private final CodecFilter front;
    private final CodecFilter database;
    private final ArrayDeque<BrokerEvent> due = new ArrayDeque<>();
    private long now = 1_000_000_000_000_000L;

    StartupWarmup(SettingsCodec settings, CodecFilter front, CodecFilter database) {
        names = settings.classNames();
        this.front = front;
        this.database = database;
        broker = new Broker(settings.routingSettings(), 1, Map.of("", Contract.UNLIMITED), null);
    }

    void run() {
        List<Endpoint> members = IntStream.range(0, MEMBERS)
                .mapToObj(
                        i -> new Endpoint("m" + i, 0, 0, i == 0 ? Role.PRIMARY : Role.UNKNOWN, EndpointStatus.LIVE, 0))
                .toList();
        tell(new BrokerEvent.EndpointsUpdated(EndpointUpdateKind.FULL, members));
        for (int i = 1; i <= REQUESTS; i++) {
            now += STEP;
            int classIndex = i % names.size();
            Statement statement = Statement.parse("/* id=9b1f03aa5c7e2d41,c=" + names.get(classIndex)
                    + ",d=480,cluster=0,k=5c0f6e1a2b3d4c59,after=" + (now / 1_000 - 900)
                    + " */ SELECT val FROM state WHERE uid = '7f3a9c21e0b4d655'");
            database.encode(new DatabaseCommand.Run(statement.withTimeout(400)));
            tell(new BrokerEvent.RequestReceived(new ClientRequest(
                    i,
                    Integer.toString(i),
                    "",
                    classIndex,
                    statement.groupId(),
                    statement.sessionNumber(),
                    statement.requiredPosition() * 1_000,
                    statement.timeoutMillis() * 1_000,
                    statement.idempotencyKey(),
                    0)));
            for (int events = due.size(); events > 0; events--) {
                tell(due.poll());
            }
        }
    }

    private void tell(BrokerEvent event) {
        for (Effect effect : broker.reduce(event, now)) {
            if (effect instanceof Effect.SendAttempt send) {
                due.add(new BrokerEvent.AttemptWritten(send.requestId(), send.attempt()));
                due.add(ended(send));
            } else if (effect instanceof Effect.SendReply answer) {
                front.encode(new ClientReply.Final(answer.reply()));
            } else if (effect instanceof Effect.CheckHealth probe) {
                due.add(new BrokerEvent.HealthCheckEnded(
                        probe.endpointId(), AttemptResult.OK, STEP, report(probe.endpointId())));
            } else if (effect instanceof Effect.ScheduleTimer arm
                    && arm.event() instanceof BrokerEvent.RoutingTimerFired) {
                due.add(arm.event());
            }
        }
    }

    /** Most attempts are served; a few miss or break. */
    private BrokerEvent ended(Effect.SendAttempt send) {
        AttemptResult result = send.requestId() % 50 == 0
                ? AttemptResult.RESET
                : send.requestId() % 20 == 0 ? AttemptResult.INELIGIBLE_REPLICA : AttemptResult.OK;
        LoadReport report = report(send.endpointId());
        return new BrokerEvent.AttemptEnded(
                send.requestId(), send.attempt(), result, STEP, report.role(), report.position(), report, new byte[8]);
    }

    private LoadReport report(String server) {
        Role role = server.equals("m0") ? Role.PRIMARY : Role.REPLICA;
        return new LoadReport(now - STEP, role, Double.NaN, Double.NaN, Double.NaN);
    }
}
