package crankwick.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * What a key's life and a held request's cost with so many of them in memory, beside plain variants: a map of
 * keys that is swept each half second, and a list that is searched. {@code make benchmark} runs it.
 */
@State(Scope.Thread)
@BenchmarkMode({Mode.AverageTime, Mode.SampleTime})
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 2)
@Measurement(iterations = 3, time = 2)
public class KeyRegistryBenchmark {
    private static final long KEPT = 5_000_000;
    private static final long SWEEP_EVERY = 500_000;

    /** How many are in memory. */
    @Param({"1000", "1000000"})
    private int entries;

    private KeyRegistry registry;
    private RequestBuffer queue;
    private final Map<String, long[]> plainKeys = new HashMap<>();
    private final List<RequestBuffer.BufferedRequest> plainQueue = new ArrayList<>();
    private long now = 1;
    private long sweptAt;
    private long next;

    /** Fills both registries and both queues. */
    @Setup
    public void fill() {
        registry = new KeyRegistry(entries * 2, 17);
        queue = new RequestBuffer(
                new FailoverSettings(
                        entries + 1, entries + 1, Long.MAX_VALUE, Long.MAX_VALUE, 0.05, 4, 0, 1, 0, 1, 1, 1, 1),
                new HashMap<>());
        for (int i = 0; i < entries; i++) {
            keyInRegistry();
            queue.add(held(i));
            plainQueue.add(held(i));
        }
        next = 0;
        now = 1;
        for (int i = 0; i < entries; i++) {
            keyInPlainMap();
        }
        next = entries;
    }

    /** The clock goes on so that as many keys end as begin. */
    private String nextKey() {
        now += KEPT / entries;
        return Long.toHexString(next++ * 0x9E3779B97F4A7C15L);
    }

    private RequestBuffer.BufferedRequest held(long ref) {
        return new RequestBuffer.BufferedRequest(ref, "finder", ref % 7, ref * 0x9E3779B97F4A7C15L >>> 24, 200);
    }

    /** One key's life: asked for, sent, ended in doubt. */
    @Benchmark
    public long keyInRegistry() {
        long hash = registry.hash(3, nextKey());
        long ran = registry.ranSince(hash, now);
        registry.sent(hash, now, KEPT);
        registry.ended(hash, false, false);
        return ran;
    }

    /** The same with a map and a sweep. */
    @Benchmark
    public long keyInPlainMap() {
        String key = "3:" + nextKey();
        if (now - sweptAt >= SWEEP_EVERY) {
            sweptAt = now;
            plainKeys.values().removeIf(e -> e[1] <= now);
        }
        long[] known = plainKeys.get(key);
        plainKeys.put(key, new long[] {now, now + KEPT, 2});
        return known == null ? Long.MAX_VALUE : known[0];
    }

    /** The first leaves, another comes. */
    @Benchmark
    public long heldInQueue() {
        RequestBuffer.BufferedRequest first = queue.first();
        queue.remove(first.ref());
        queue.add(held(next++));
        return first.ref();
    }

    /** The same with a list that is searched. */
    @Benchmark
    public long heldInPlainList() {
        int least = 0;
        for (int i = 1; i < plainQueue.size(); i++) {
            least = plainQueue.get(i).order() < plainQueue.get(least).order() ? i : least;
        }
        return plainQueue.set(least, held(next++)).ref();
    }
}
