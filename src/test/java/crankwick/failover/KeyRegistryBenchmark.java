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
 * Measures the cost of one key operation and of one buffered request by the number of entries in memory, compared with
 * simple variants: a map of keys that is swept every half second, and a list that is searched linearly. Run by
 * {@code make benchmark}.
 */
@State(Scope.Thread)
@BenchmarkMode({Mode.AverageTime, Mode.SampleTime})
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 2)
@Measurement(iterations = 3, time = 2)
public class KeyRegistryBenchmark {
    private static final long TIME_TO_LIVE = 5_000_000;
    private static final long SWEEP_INTERVAL = 500_000;

    /** The number of keys and requests in memory. */
    @Param({"1000", "1000000"})
    private int entries;

    private KeyRegistry registry;
    private RequestBuffer buffer;
    private final Map<String, long[]> plainKeys = new HashMap<>();
    private final List<RequestBuffer.BufferedRequest> plainList = new ArrayList<>();
    private long now = 1;
    private long sweptAt;
    private long next;

    /** Fills the key registry, the key map, the buffer and the list. */
    @Setup
    public void fill() {
        registry = new KeyRegistry(entries * 2, 17);
        buffer = new RequestBuffer(
                new FailoverSettings(
                        entries + 1, entries + 1, Long.MAX_VALUE, Long.MAX_VALUE, 0.05, 4, 0, 1, 0, 1, 1, 1, 1),
                new HashMap<>());
        for (int i = 0; i < entries; i++) {
            keyInRegistry();
            buffer.add(request(i));
            plainList.add(request(i));
        }
        next = 0;
        now = 1;
        for (int i = 0; i < entries; i++) {
            keyInMap();
        }
        next = entries;
    }

    /** Advances the clock so that keys expire at the rate at which new keys are added. */
    private String nextKey() {
        now += TIME_TO_LIVE / entries;
        return Long.toHexString(next++ * 0x9E3779B97F4A7C15L);
    }

    private RequestBuffer.BufferedRequest request(long requestId) {
        return new RequestBuffer.BufferedRequest(
                requestId, "finder", requestId % 7, requestId * 0x9E3779B97F4A7C15L >>> 24, 200);
    }

    /** Looks up a key and records an attempt with an unknown outcome. */
    @Benchmark
    public long keyInRegistry() {
        long hash = registry.hash(3, nextKey());
        long mayHaveExecutedSince = registry.mayHaveExecutedSince(hash, now);
        registry.recordAttempt(hash, now, TIME_TO_LIVE);
        registry.recordResult(hash, false, false);
        return mayHaveExecutedSince;
    }

    /** The same operation with a map and a periodic sweep. */
    @Benchmark
    public long keyInMap() {
        String key = "3:" + nextKey();
        if (now - sweptAt >= SWEEP_INTERVAL) {
            sweptAt = now;
            plainKeys.values().removeIf(e -> e[1] <= now);
        }
        long[] known = plainKeys.get(key);
        plainKeys.put(key, new long[] {now, now + TIME_TO_LIVE, 2});
        return known == null ? Long.MAX_VALUE : known[0];
    }

    /** Removes the first request in release order and adds another. */
    @Benchmark
    public long requestInBuffer() {
        RequestBuffer.BufferedRequest first = buffer.first();
        buffer.remove(first.requestId());
        buffer.add(request(next++));
        return first.requestId();
    }

    /** The same operation with a linear search of a list. */
    @Benchmark
    public long requestInList() {
        int earliest = 0;
        for (int i = 1; i < plainList.size(); i++) {
            earliest = plainList.get(i).releaseOrder() < plainList.get(earliest).releaseOrder() ? i : earliest;
        }
        return plainList.set(earliest, request(next++)).requestId();
    }
}
