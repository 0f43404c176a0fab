package stileferry.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.netflix.concurrency.limits.Limiter;
import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** A simulated server with a fixed rate behind the limit: what is taken in must not wait ever longer. */
class ConcurrencyLimitTest {
    private static final long SERVICE_TIME_NANOS = 5_000_000;

    private record AcceptedRequest(long at, Limiter.Listener slot) {}

    private long nanos = 1;

    /** How many requests were accepted and refused, and the longest wait in the second half of the time. */
    private record Outcome(long accepted, long rejected, long longestWaitMs) {}

    /** Offers so many requests a second to a server that does 200. */
    private Outcome simulate(double perSecond, int seconds) {
        Limiter<Void> limit = ConcurrencyLimit.create(() -> nanos);
        SplittableRandom random = new SplittableRandom(3);
        ArrayDeque<AcceptedRequest> queue = new ArrayDeque<>();
        long freeAt = 0;
        long accepted = 0;
        long refused = 0;
        long longestWaitMs = 0;
        long end = nanos + seconds * 1_000_000_000L;
        long half = nanos + seconds * 500_000_000L;
        while (nanos < end) {
            nanos += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
            while (!queue.isEmpty() && Math.max(freeAt, queue.peek().at) + SERVICE_TIME_NANOS <= nanos) {
                AcceptedRequest done = queue.poll();
                long now = nanos;
                freeAt = Math.max(freeAt, done.at) + SERVICE_TIME_NANOS;
                nanos = freeAt;
                done.slot.onSuccess();
                nanos = now;
                longestWaitMs = freeAt > half ? Math.max(longestWaitMs, (freeAt - done.at) / 1_000_000) : longestWaitMs;
            }
            var slot = limit.acquire(null);
            if (slot.isPresent()) {
                accepted++;
                queue.add(new AcceptedRequest(nanos, slot.get()));
            } else {
                refused++;
            }
        }
        return new Outcome(accepted, refused, longestWaitMs);
    }

    @Test
    void loadBelowCapacityIsNeverRejected() {
        assertEquals(0, simulate(100, 20).rejected);
    }

    @Test
    void doublingOverloadKeepsThroughputAndBoundsWaitTimes() {
        Outcome full = simulate(400, 20);
        Outcome twice = simulate(800, 20);
        assertTrue(full.rejected > 0 && twice.rejected > full.rejected, "more is refused");
        assertTrue(
                twice.accepted > 0.9 * full.accepted,
                "and as much is taken: " + twice.accepted + " of " + full.accepted);
        assertTrue(
                full.longestWaitMs < 2000 && twice.longestWaitMs < 2000,
                "waits of " + full.longestWaitMs + " and " + twice.longestWaitMs + " ms");
    }
}
