package stileferry.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.netflix.concurrency.limits.Limiter;
import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Puts the limiter in front of a simulated server with a fixed service time. Guards against a limit that grows under
 * overload, so that accepted requests wait longer and longer.
 */
class ConcurrencyLimitTest {
    private static final long SERVICE_TIME_NANOS = 5_000_000;

    private record AcceptedRequest(long at, Limiter.Listener slot) {}

    private long nanos = 1;

    /** Numbers of accepted and rejected requests, and the longest response time in the second half of the run. */
    private record Outcome(long accepted, long rejected, long longestWaitMs) {}

    /** Sends requests at a mean rate, at random times, to a server that can process 200 per second. */
    private Outcome simulate(double requestsPerSecond, int durationS) {
        Limiter<Void> limiter = ConcurrencyLimit.create(() -> nanos);
        SplittableRandom random = new SplittableRandom(3);
        ArrayDeque<AcceptedRequest> queue = new ArrayDeque<>();
        long freeAt = 0;
        long accepted = 0;
        long rejected = 0;
        long longestWaitMs = 0;
        long endTime = nanos + durationS * 1_000_000_000L;
        long halfTime = nanos + durationS * 500_000_000L;
        while (nanos < endTime) {
            nanos += (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * 1e9);
            while (!queue.isEmpty() && Math.max(freeAt, queue.peek().at) + SERVICE_TIME_NANOS <= nanos) {
                AcceptedRequest done = queue.poll();
                long now = nanos;
                freeAt = Math.max(freeAt, done.at) + SERVICE_TIME_NANOS;
                nanos = freeAt;
                done.slot.onSuccess();
                nanos = now;
                longestWaitMs =
                        freeAt > halfTime ? Math.max(longestWaitMs, (freeAt - done.at) / 1_000_000) : longestWaitMs;
            }
            var slot = limiter.acquire(null);
            if (slot.isPresent()) {
                accepted++;
                queue.add(new AcceptedRequest(nanos, slot.get()));
            } else {
                rejected++;
            }
        }
        return new Outcome(accepted, rejected, longestWaitMs);
    }

    @Test
    void loadBelowCapacityIsNeverRejected() {
        assertEquals(0, simulate(100, 20).rejected);
    }

    @Test
    void doublingOverloadKeepsThroughputAndBoundsWaitTimes() {
        Outcome overload = simulate(400, 20);
        Outcome doubledOverload = simulate(800, 20);
        assertTrue(
                overload.rejected > 0 && doubledOverload.rejected > overload.rejected,
                "doubled overload must be rejected more often");
        assertTrue(
                doubledOverload.accepted > 0.9 * overload.accepted,
                "accepted under doubled overload: " + doubledOverload.accepted + ", before: " + overload.accepted);
        assertTrue(
                overload.longestWaitMs < 2000 && doubledOverload.longestWaitMs < 2000,
                "waits of " + overload.longestWaitMs + " and " + doubledOverload.longestWaitMs + " ms");
    }
}
