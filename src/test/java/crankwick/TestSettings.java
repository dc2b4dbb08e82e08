package crankwick;

import crankwick.RouterApi.Limits;
import crankwick.RouterApi.ListRole;
import crankwick.RouterApi.Need;
import crankwick.RouterApi.Prices;
import crankwick.RouterApi.Repeat;
import crankwick.RouterApi.RequestClass;
import crankwick.RouterApi.Rules;
import crankwick.RouterApi.Scope;
import crankwick.RouterApi.Settings;
import crankwick.RouterApi.WhenBehind;
import java.util.List;

/** Settings that tests of the broker share: one class, a keyed write whose repeats its own group discards. */
public final class TestSettings {
    private static final long MS = 1_000;

    private TestSettings() {}

    /** Times are microseconds. */
    public static Settings keyedWrite(long keyTtl, long deadline, long connectTimeout, boolean probes) {
        return new Settings(
                1,
                0,
                false,
                true,
                true,
                WhenBehind.WAIT,
                ListRole.LATE,
                new Rules(20 * MS, 2_000 * MS, false, 0.18, 16_000 * MS, 2.5, 2_000 * MS),
                new Limits(probes, true, true, 2_000 * MS, 8, connectTimeout),
                new Prices(0.01, 0.02, 0.05),
                List.of(new RequestClass(
                        Need.WRITE, 0, Repeat.KEYED, Scope.GROUP, keyTtl, 750 * MS, deadline, 6, 0.5)));
    }
}
