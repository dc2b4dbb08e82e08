package crankwick.app;

import crankwick.RouterApi.ListKind;
import crankwick.RouterApi.Member;
import crankwick.RouterApi.Report;
import crankwick.RouterApi.Result;
import crankwick.RouterApi.Role;
import crankwick.RouterApi.Standing;
import crankwick.broker.Broker;
import crankwick.broker.BrokerEvent;
import crankwick.broker.Call;
import crankwick.broker.Contract;
import crankwick.broker.Effect;
import crankwick.net.CodecFilter;
import crankwick.net.DatabaseCommand;
import crankwick.net.FrontReply;
import crankwick.simhost.SettingsCodec;
import crankwick.statement.Statement;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Puts a broker of its own through made-up requests before the proxy says that it is ready. It guards against
 * answers lost in the first second: two proxies that interpret and compile this code on one core while
 * requests come in were seen to run half a second late.
 */
final class Rehearsal {
    private static final int REQUESTS = 100;
    private static final long STEP = 5_000;
    private static final int MEMBERS = 6;

    private final List<String> names;
    private final Broker broker;
    private final CodecFilter front;
    private final CodecFilter database;
    private final ArrayDeque<BrokerEvent> due = new ArrayDeque<>();
    private long now = 1_000_000_000_000_000L;

    Rehearsal(SettingsCodec settings, CodecFilter front, CodecFilter database) {
        names = settings.classNames();
        this.front = front;
        this.database = database;
        broker = new Broker(settings.settings, 1, Map.of("", Contract.UNLIMITED), null);
    }

    void run() {
        List<Member> members = IntStream.range(0, MEMBERS)
                .mapToObj(i -> new Member("m" + i, 0, 0, i == 0 ? Role.PRIMARY : Role.UNKNOWN, Standing.LIVE, 0))
                .toList();
        tell(new BrokerEvent.Listed(ListKind.FULL, members));
        for (int i = 1; i <= REQUESTS; i++) {
            now += STEP;
            int cls = i % names.size();
            Statement statement = Statement.parse("/* id=9b1f03aa5c7e2d41,c=" + names.get(cls)
                    + ",d=480,cluster=0,k=5c0f6e1a2b3d4c59,after=" + (now / 1_000 - 900)
                    + " */ SELECT val FROM state WHERE uid = '7f3a9c21e0b4d655'");
            database.encode(new DatabaseCommand.Run(statement.withWait(400)));
            tell(new BrokerEvent.Taken(new Call(
                    i,
                    Integer.toString(i),
                    "",
                    cls,
                    statement.cluster(),
                    statement.sessionNumber(),
                    statement.after() * 1_000,
                    statement.waitMs() * 1_000,
                    statement.key(),
                    0)));
            for (int events = due.size(); events > 0; events--) {
                tell(due.poll());
            }
        }
    }

    private void tell(BrokerEvent event) {
        for (Effect effect : broker.reduce(event, now)) {
            if (effect instanceof Effect.Send send) {
                due.add(new BrokerEvent.Written(send.ref(), send.attempt()));
                due.add(ended(send));
            } else if (effect instanceof Effect.Answer answer) {
                front.encode(new FrontReply.Final(answer.reply()));
            } else if (effect instanceof Effect.Probe probe) {
                due.add(new BrokerEvent.Probed(probe.server(), Result.OK, STEP, report(probe.server())));
            } else if (effect instanceof Effect.Arm arm && arm.event() instanceof BrokerEvent.RouterDue) {
                due.add(arm.event());
            }
        }
    }

    /** Most attempts are served; a few miss or break. */
    private BrokerEvent ended(Effect.Send send) {
        Result result = send.ref() % 50 == 0 ? Result.RESET : send.ref() % 20 == 0 ? Result.MISS : Result.OK;
        Report report = report(send.server());
        return new BrokerEvent.Ended(
                send.ref(), send.attempt(), result, STEP, report.role(), report.position(), report, new byte[8]);
    }

    private Report report(String server) {
        Role role = server.equals("m0") ? Role.PRIMARY : Role.REPLICA;
        return new Report(now - STEP, role, Double.NaN, Double.NaN, Double.NaN);
    }
}
