package crankwick.discovery;

import java.util.SplittableRandom;

/**
 * Keeps a list of databases current: when discovery is called, how long a call may take, which answer is
 * taken. It is the one owner of what discovery's silence means (docs/discovery.md has the budget).
 * Times are microseconds; (event, now) in, {@link Calls} out, no clock or socket of its own.
 *
 * <p>A watch goes on call by call, each held by discovery for a drawn time. One that is not answered soon
 * after its hold has fallen silent: it is opened anew at once. What it missed counts as told 6 s after it
 * fell silent, or 2 s after its hold where that is later, and must be honoured within the settings' drain
 * grace from then on.
 */
public final class EndpointWatch {
    /** The version to ask from that brings the whole list. */
    public static final long WHOLE = -1;

    private static final long MS = 1_000;
    /**
     * Holds are drawn from this range, so that watches that fall silent together are not opened anew
     * together: discovery takes calls in turn. What silence tells is not put off by a hold of up to 4 s.
     */
    static final long HOLD_LEAST = 2_000 * MS;

    static final long HOLD_MOST = 4_000 * MS;
    /** The hold of a watch opened anew: its answer says that the list is current again. */
    static final long HOLD_ANEW = 250 * MS;
    /** That of the very first call, drawn up to twice as long: a start has no time to read lists. */
    static final long HOLD_START = 1_000 * MS;
    /** A connection to discovery that is not up by then is tried again. */
    static final long CONNECT = 750 * MS;
    /** An answer may come this long after its hold: the round trip, and a late loop on part of a core. */
    static final long PATIENCE = 500 * MS;
    /** How long a watch's first call may wait its turn; twice as long after each that was given up, up to: */
    static final long TURN = 2_000 * MS;

    static final long TURN_MOST = 8_000 * MS;
    /** The pause after a call that failed, doubling with each further one; drawn from the half up. */
    static final long PAUSE_FIRST = 150 * MS;

    static final long PAUSE_MOST = 600 * MS;
    /**
     * So many answers in part to one version are taken for all there is: after half a second it is no
     * trouble on the way any more, and a fleet that asked on without end would fill discovery's turns.
     */
    static final int IN_PART_MOST = 4;
    /** All proxies may start at once: the first call is put off by up to so long. */
    static final long START_SPREAD = 100 * MS;

    private static final long NEVER = Long.MAX_VALUE;

    /** What a keeper does; the caller carries it out at once. */
    public interface Calls {
        /** Opens a call for what is newer than a version, or for the {@link #WHOLE} list, held so long. */
        void open(long call, long from, long hold);

        /** Ends a call; nothing that it still brings counts. */
        void end(long call);

        /** Leaves a call to where discovery was: what it brings counts until the next one is answered. */
        void leave(long call);
    }

    private final SplittableRandom random;
    private final Calls calls;
    private long version;
    private boolean whole;
    /** The whole list was asked for because an answer was older than the list; such another is the truth. */
    private boolean renumbered;
    /** The version last answered in part, and how many times; the last of them is gone on from. */
    private long inPart = WHOLE;

    private int inPartTimes;
    /** The call that is open, or 0; calls are numbered from 1. */
    private long open;

    private long opened;
    private long hold;
    private long heldFrom;
    /** Whether the call goes on where the last one was answered. */
    private boolean goesOn;

    private long dueAt = NEVER;
    private int failures;
    private int overdue;
    private long troubleSince = NEVER;

    /** Goes on from a list of the given version. */
    public EndpointWatch(long version, long seed, Calls calls) {
        this.version = version;
        this.calls = calls;
        random = new SplittableRandom(seed);
    }

    /** Begins to watch. */
    public void start(long now) {
        dueAt = now + random.nextLong(START_SPREAD);
    }

    /** When {@link #due} is to be called next, after any event; the far future where it need not be. */
    public long dueAt() {
        return dueAt;
    }

    /** The version of the list had. */
    public long version() {
        return version;
    }

    /** Since when discovery has not answered as it should, or a time in the far future. */
    public long troubleSince() {
        return troubleSince;
    }

    /** The time has come: a pause is over, or a call has had its time. */
    public void due(long now) {
        if (now < dueAt) {
            return;
        }
        if (open != 0) {
            troubleSince = Math.min(troubleSince, now);
            overdue += goesOn ? 0 : 1;
            goesOn = false;
            calls.end(open);
        }
        open(now);
    }

    /** The call's connection is up. */
    public void connected(long call, long now) {
        if (call == open) {
            long turn = goesOn ? 0 : Math.min(TURN_MOST, TURN << Math.min(overdue, 2));
            heldFrom = now;
            dueAt = now + hold + turn + PATIENCE;
        }
    }

    /**
     * A call was answered by a list that can be read, {@code complete} if all its entries can. True if the
     * list is to be taken: it is not older than the one had, or the numbering has begun anew. What was not
     * complete is asked for again after a pause, until {@link #IN_PART_MOST} answers were not. An answer that
     * brings nothing is not followed at once where its hold was far from over.
     */
    public boolean answered(long call, long answered, boolean complete, long now) {
        if (call != open) {
            return false;
        }
        open = 0;
        boolean older = answered < version;
        boolean taken = !older || renumbered;
        renumbered = older && !taken;
        inPartTimes = complete ? 0 : inPart == answered ? inPartTimes + 1 : 1;
        inPart = answered;
        boolean again = !taken || !complete && inPartTimes < IN_PART_MOST;
        whole = renumbered || whole && again;
        if (again) {
            pause(now);
            return taken;
        }
        boolean idle = answered == version && now < heldFrom + hold / 2;
        version = answered;
        failures = 0;
        overdue = 0;
        troubleSince = NEVER;
        goesOn = true;
        if (idle) {
            dueAt = now + PAUSE_FIRST / 2;
        } else {
            open(now);
        }
        return true;
    }

    /** A call failed: refused, reset, turned away, or answered by what can't be read. */
    public void failed(long call, long now) {
        if (call == open) {
            open = 0;
            pause(now);
        }
    }

    /**
     * Discovery is at another place from now on: what the list lacks is asked there, at once and whole. What
     * the old place has written by now is told, though it may not have arrived.
     */
    public void moved(long now) {
        if (open != 0) {
            calls.leave(open);
        }
        whole = true;
        failures = 0;
        overdue = 0;
        goesOn = false;
        open(now);
    }

    /** Ends the call that is open, and calls no more. */
    public void end() {
        if (open != 0) {
            calls.end(open);
        }
        open = 0;
        dueAt = NEVER;
    }

    private void open(long now) {
        open = ++opened;
        hold = goesOn
                ? HOLD_LEAST + random.nextLong(HOLD_MOST - HOLD_LEAST)
                : whole || troubleSince < NEVER ? HOLD_ANEW : HOLD_START + random.nextLong(HOLD_START);
        heldFrom = now;
        dueAt = now + CONNECT;
        calls.open(open, whole ? WHOLE : version, hold);
    }

    private void pause(long now) {
        troubleSince = Math.min(troubleSince, now);
        goesOn = false;
        long pause = Math.min(PAUSE_MOST, PAUSE_FIRST << Math.min(failures++, 2));
        dueAt = now + pause / 2 + random.nextLong(pause / 2);
    }
}
