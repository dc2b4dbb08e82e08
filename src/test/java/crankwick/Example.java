package crankwick;

import crankwick.RouterApi.Actions;
import crankwick.RouterApi.Limits;
import crankwick.RouterApi.ListKind;
import crankwick.RouterApi.ListRole;
import crankwick.RouterApi.Member;
import crankwick.RouterApi.Membership;
import crankwick.RouterApi.Need;
import crankwick.RouterApi.Prices;
import crankwick.RouterApi.Repeat;
import crankwick.RouterApi.Request;
import crankwick.RouterApi.RequestClass;
import crankwick.RouterApi.Role;
import crankwick.RouterApi.Rules;
import crankwick.RouterApi.Scope;
import crankwick.RouterApi.Settings;
import crankwick.RouterApi.Standing;
import crankwick.RouterApi.WhenBehind;
import java.io.PrintStream;
import java.util.List;

/** How a gateway embeds the router; the README shows the body of {@link #run}. */
final class Example {
    private Example() {}

    static void run(PrintStream out) {
        Settings settings = new Settings(
                1,
                0,
                false,
                true,
                false,
                WhenBehind.SERVE,
                ListRole.OFF,
                new Rules(20_000, 500_000, false, 0.2, 18_000_000, 3, 1_500_000),
                new Limits(true, true, true, 500_000, 8, 250_000),
                new Prices(0, 0.02, 0.05),
                List.of(new RequestClass(Need.ANY, 0, Repeat.SAFE, Scope.ALL, 0, 400_000, 1_000_000, 1, 0)));
        Router router = new Router(settings, 42);
        Actions actions = new PrintingActions(out);
        long now = 1_000_000;
        router.handle(
                now,
                new Membership(ListKind.FULL, List.of(new Member("db-1", 0, 7, Role.UNKNOWN, Standing.LIVE, 0))),
                actions);
        router.handle(now, new Request(1, 0, 7, RouterApi.NONE, RouterApi.NONE, now + 900_000), actions);
    }

    private record PrintingActions(PrintStream out) implements Actions {
        @Override
        public void send(long id, String server, long patience) {
            out.print("send " + id + " to " + server + "\n");
        }

        @Override
        public void refuse(long id, long retryAfter) {
            out.print("refuse " + id + "\n");
        }

        @Override
        public void fail(long id) {
            out.print("fail " + id + "\n");
        }

        @Override
        public void probe(String server) {}

        @Override
        public void cancel(long id, int attempt) {}

        @Override
        public void arm(long fromNow, long ref) {}

        @Override
        public void watch() {}

        @Override
        public void fetch() {}

        @Override
        public void log(String line) {}
    }
}
