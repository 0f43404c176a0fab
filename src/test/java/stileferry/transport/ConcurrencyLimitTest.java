package stileferry.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.netflix.concurrency.limits.Limiter;
import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Puts the limiter in front of a simulated server with a fixed service time. Guards against accepting so much under
 * overload that accepted requests wait longer and longer.
 */
class ConcurrencyLimitTest {
    private static final long SERVICE_TIME_NANOS = 5_000_000;

    private record AcceptedRequest(long acceptedAtNanos, Limiter.Listener slot) {}

    private long nowNanos = 1;

    /** Numbers of accepted and rejected requests, and the longest response time in the second half of the run. */
    private record Outcome(long accepted, long rejected, long longestResponseTimeMs) {}

    /** Sends requests at a mean rate, at random times, to a server that can process 200 per second. */
    private Outcome simulate(double requestsPerSecond, int durationS) {
        Limiter<Void> limiter = ConcurrencyLimit.create(() -> nowNanos);
        SplittableRandom random = new SplittableRandom(3);
        ArrayDeque<AcceptedRequest> queue = new ArrayDeque<>();
        long serverFreeAtNanos = 0;
        long accepted = 0;
        long rejected = 0;
        long longestResponseTimeMs = 0;
        long endNanos = nowNanos + durationS * 1_000_000_000L;
        long halfTimeNanos = nowNanos + durationS * 500_000_000L;
        while (nowNanos < endNanos) {
            nowNanos += (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * 1e9);
            while (!queue.isEmpty()
                    && Math.max(serverFreeAtNanos, queue.peek().acceptedAtNanos) + SERVICE_TIME_NANOS <= nowNanos) {
                AcceptedRequest completed = queue.poll();
                long arrivalNanos = nowNanos;
                serverFreeAtNanos = Math.max(serverFreeAtNanos, completed.acceptedAtNanos) + SERVICE_TIME_NANOS;
                nowNanos = serverFreeAtNanos;
                completed.slot.onSuccess();
                nowNanos = arrivalNanos;
                longestResponseTimeMs = serverFreeAtNanos > halfTimeNanos
                        ? Math.max(longestResponseTimeMs, (serverFreeAtNanos - completed.acceptedAtNanos) / 1_000_000)
                        : longestResponseTimeMs;
            }
            var slot = limiter.acquire(null);
            if (slot.isPresent()) {
                accepted++;
                queue.add(new AcceptedRequest(nowNanos, slot.get()));
            } else {
                rejected++;
            }
        }
        return new Outcome(accepted, rejected, longestResponseTimeMs);
    }

    @Test
    void loadBelowCapacityIsNeverRejected() {
        assertEquals(0, simulate(100, 20).rejected);
    }

    @Test
    void doublingOverloadKeepsThroughputAndBoundsResponseTimes() {
        Outcome overload = simulate(400, 20);
        Outcome doubledOverload = simulate(800, 20);
        assertTrue(
                overload.rejected > 0 && doubledOverload.rejected > overload.rejected,
                "doubled overload must be rejected more often");
        assertTrue(
                doubledOverload.accepted > 0.9 * overload.accepted,
                "accepted under doubled overload: " + doubledOverload.accepted + ", before: " + overload.accepted);
        assertTrue(
                overload.longestResponseTimeMs < 2000 && doubledOverload.longestResponseTimeMs < 2000,
                "longest response times: " + overload.longestResponseTimeMs + " and "
                        + doubledOverload.longestResponseTimeMs + " ms");
    }
}
