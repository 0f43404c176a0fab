package stileferry.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.netflix.concurrency.limits.Limiter;
import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** A simulated server with a fixed rate behind the limit: what is taken in must not wait ever longer. */
class ConcurrencyLimitTest {
    private static final long SERVICE_NANOS = 5_000_000;

    private record Taken(long at, Limiter.Listener slot) {}

    private long nanos = 1;

    /** Offers so many requests a second to a server that does 200, and returns {taken, refused, longest wait in ms}. */
    private long[] offer(double perSecond, int seconds) {
        Limiter<Void> limit = ConcurrencyLimit.create(() -> nanos);
        SplittableRandom random = new SplittableRandom(3);
        ArrayDeque<Taken> queue = new ArrayDeque<>();
        long freeAt = 0;
        long taken = 0;
        long refused = 0;
        long longest = 0;
        long end = nanos + seconds * 1_000_000_000L;
        long half = nanos + seconds * 500_000_000L;
        while (nanos < end) {
            nanos += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
            while (!queue.isEmpty() && Math.max(freeAt, queue.peek().at) + SERVICE_NANOS <= nanos) {
                Taken t = queue.poll();
                long now = nanos;
                freeAt = Math.max(freeAt, t.at) + SERVICE_NANOS;
                nanos = freeAt;
                t.slot.onSuccess();
                nanos = now;
                longest = freeAt > half ? Math.max(longest, (freeAt - t.at) / 1_000_000) : longest;
            }
            var slot = limit.acquire(null);
            if (slot.isPresent()) {
                taken++;
                queue.add(new Taken(nanos, slot.get()));
            } else {
                refused++;
            }
        }
        return new long[] {taken, refused, longest};
    }

    @Test
    void ordinaryLoadIsNeverRefused() {
        assertEquals(0, offer(100, 20)[1]);
    }

    @Test
    void whatIsTakenKeepsItsTimesAsTheLoadDoubles() {
        long[] full = offer(400, 20);
        long[] twice = offer(800, 20);
        assertTrue(full[1] > 0 && twice[1] > full[1], "more is refused");
        assertTrue(twice[0] > 0.9 * full[0], "and as much is taken: " + twice[0] + " of " + full[0]);
        assertTrue(full[2] < 2000 && twice[2] < 2000, "waits of " + full[2] + " and " + twice[2] + " ms");
    }
}
