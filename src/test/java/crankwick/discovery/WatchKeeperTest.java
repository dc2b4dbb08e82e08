package crankwick.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Fleets of keepers before one discovery that takes new watches in turn, in simulated time by seed. */
public class WatchKeeperTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final long TRIP = 2 * MS;
    private static final long DRAIN_GRACE = 2 * SECOND;
    private static final long TIMEOUT = 2 * SECOND;

    private record Due(long at, long place, Runnable task) {
    }

    /** One discovery, its proxies, and what each had to have heard when. */
    private static final class Fleet {
        final PriorityQueue<Due> queue =
                new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::place));
        final SplittableRandom random;
        final List<Proxy> proxies = new ArrayList<>();
        final long turn;
        long now = 1_000 * SECOND;
        long version = 41;
        long busyUntil;
        boolean down;
        int calls;
        int late;

        /** {@code lateness} is that of every timer of a proxy; the whole fleet's turn takes {@code all}. */
        Fleet(int size, long seed, long all, long lateness) {
            random = new SplittableRandom(seed);
            turn = all / size;
            for (int i = 0; i < size; i++) {
                proxies.add(new Proxy(this, random.nextLong(), lateness));
            }
            proxies.forEach(p -> p.told(() -> p.keeper.start(now)));
        }

        void after(long span, Runnable task) {
            queue.add(new Due(now + span, queue.size() + (now << 20), task));
        }

        void run(long span) {
            for (long end = now + span; !queue.isEmpty() && queue.peek().at <= end;) {
                Due due = queue.poll();
                now = due.at;
                due.task.run();
            }
        }

        /** A database begins to drain. */
        void drain() {
            version++;
            for (Proxy p : proxies) {
                long silence = Math.max(p.silentAt + 6 * SECOND, p.heldUntil + 2 * SECOND);
                long missed = p.silent ? silence : p.waits ? now : now + 6 * SECOND;
                long limit = missed + DRAIN_GRACE;
                long mine = version;
                after(limit - now, () -> late += p.version < mine ? 1 : 0);
                if (p.waits && !p.silent) {
                    p.answer(p.call);
                }
            }
        }

        void silence() {
            proxies.forEach(p -> {
                p.silent = p.waits;
                p.silentAt = now;
            });
        }

        void reset() {
            proxies.stream().filter(p -> p.waits).forEach(p -> p.fail(p.call));
        }
    }

    /** One proxy's keeper, and its call as discovery sees it. */
    private static final class Proxy implements WatchKeeper.Calls {
        final Fleet fleet;
        final WatchKeeper keeper;
        final long lateness;
        long version = 41;
        long call;
        long from;
        boolean waits;
        boolean silent;
        long silentAt;
        long heldUntil;
        long answeredAt;

        Proxy(Fleet fleet, long seed, long lateness) {
            this.fleet = fleet;
            this.lateness = lateness;
            keeper = new WatchKeeper(41, seed, this);
        }

        void told(Runnable event) {
            event.run();
            long due = keeper.dueAt();
            if (due < Long.MAX_VALUE) {
                fleet.after(Math.max(0, due - fleet.now) + lateness, () -> {
                    if (keeper.dueAt() == due) {
                        told(() -> keeper.due(fleet.now));
                    }
                });
            }
        }

        @Override
        public void open(long opened, long since, long hold) {
            assertFalse(waits, "two calls at once");
            call = opened;
            from = since;
            fleet.calls++;
            fleet.after(TRIP, () -> arrive(opened, hold));
        }

        private void arrive(long mine, long hold) {
            if (mine != call) {
                return;
            }
            told(() -> keeper.connected(mine, fleet.now));
            boolean goesOn = fleet.now - answeredAt < 200 * MS;
            long wait = goesOn ? 0 : Math.max(0, fleet.busyUntil - fleet.now) + fleet.turn;
            if (fleet.down || wait > TIMEOUT) {
                fail(mine);
                return;
            }
            fleet.busyUntil = goesOn ? fleet.busyUntil : fleet.now + wait;
            fleet.after(wait, () -> hold(mine, hold - wait));
        }

        private void hold(long mine, long rest) {
            if (mine == call && from < fleet.version) {
                answer(mine);
            } else if (mine == call) {
                waits = true;
                heldUntil = fleet.now + Math.max(0, rest);
                fleet.after(Math.max(0, rest), () -> {
                    if (mine == call && !silent) {
                        answer(mine);
                    }
                });
            }
        }

        void answer(long mine) {
            waits = false;
            answeredAt = fleet.now;
            long brings = fleet.version;
            fleet.after(TRIP, () -> told(() -> {
                if (keeper.answered(mine, brings, true, fleet.now)) {
                    version = brings;
                }
            }));
        }

        void fail(long mine) {
            waits = false;
            fleet.after(TRIP, () -> told(() -> keeper.failed(mine, fleet.now)));
        }

        @Override
        public void end(long ended) {
            assertEquals(ended, call);
            call = 0;
            waits = false;
            silent = false;
        }
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{6, 1}, {6, 2}, {14, 3}, {100, 4}, {120, 5}, {120, 6}, {120, 7}, {120, 8}};
    }

    /** What each day brings: silence or resets at any moment, drains around them, discovery down and back. */
    private static Fleet day(int size, long seed, long lateness) {
        Fleet fleet = new Fleet(size, seed, 1_900 * MS, lateness);
        fleet.run(8 * SECOND);
        for (int round = 0; round < 20; round++) {
            if (round % 3 == 2) {
                fleet.reset();
                fleet.down = round % 2 == 0;
                fleet.run(fleet.random.nextLong(1, 3 * SECOND));
                fleet.down = false;
            } else {
                fleet.silence();
            }
            fleet.run(fleet.random.nextLong(1, 2 * SECOND));
            fleet.drain();
            fleet.run(12 * SECOND);
        }
        return fleet;
    }

    @Test(dataProvider = "fleets")
    public void everyDrainIsHeardInTime(int size, int seed) {
        Fleet fleet = day(size, seed, 0);
        assertEquals(fleet.late, 0);
        assertTrue(fleet.proxies.stream().allMatch(p -> p.version == fleet.version));
        double perSecond = fleet.calls / (double) size / ((fleet.now - 1_000 * SECOND) / SECOND);
        assertTrue(perSecond > 0.2 && perSecond < 0.5, "calls a second for each proxy: " + perSecond);
    }

    /** The check finds a defect: timers that are 5 s late let drains pass. */
    @Test
    public void lateTimersAreFound() {
        assertTrue(day(120, 5, 5 * SECOND).late > 0);
    }

    @Test
    public void watchesThatFellSilentTogetherComeBackApart() {
        Fleet fleet = new Fleet(120, 9, 1_900 * MS, 0);
        fleet.run(20 * SECOND);
        fleet.drain();
        fleet.run(100 * MS);
        fleet.silence();
        long[] back = new long[120];
        Arrays.fill(back, -1);
        for (int at = 0; at < 60; at++) {
            fleet.run(100 * MS);
            for (int i = 0; i < back.length; i++) {
                back[i] = back[i] < 0 && !fleet.proxies.get(i).silent ? at : back[i];
            }
        }
        for (int at = 0; at < 60; at++) {
            int together = at;
            assertTrue(Arrays.stream(back).filter(b -> b == together).count() <= 20, Arrays.toString(back));
        }
        assertTrue(Arrays.stream(back).allMatch(b -> b >= 0));
    }

    @Test
    public void olderAnswerIsTakenOnlyWhenTheWholeListSaysSoAgain() {
        List<Long> asked = new ArrayList<>();
        WatchKeeper keeper = new WatchKeeper(41, 1, new WatchKeeper.Calls() {
            @Override
            public void open(long call, long from, long hold) {
                asked.add(from);
            }

            @Override
            public void end(long call) {
                asked.add(-call);
            }
        });
        keeper.start(0);
        keeper.due(SECOND);
        assertFalse(keeper.answered(1, 7, true, SECOND));
        keeper.due(2 * SECOND);
        assertTrue(keeper.answered(2, 7, true, 2 * SECOND));
        assertEquals(asked, List.of(41L, WatchKeeper.WHOLE, 7L));
        assertTrue(keeper.answered(3, 9, false, 3 * SECOND), "what can be read of it counts");
        assertTrue(keeper.dueAt() > 3 * SECOND);
        keeper.due(4 * SECOND);
        assertEquals(asked.get(3), Long.valueOf(7), "and is asked for again");
        assertTrue(keeper.answered(4, 7, true, 4 * SECOND));
        assertEquals(asked.size(), 4, "nothing newer before its time: no call at once");
        keeper.moved(5 * SECOND);
        assertEquals(asked.get(4), Long.valueOf(WatchKeeper.WHOLE));
    }
}
