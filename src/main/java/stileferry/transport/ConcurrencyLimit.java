package stileferry.transport;

import com.netflix.concurrency.limits.Limiter;
import com.netflix.concurrency.limits.limit.Gradient2Limit;
import com.netflix.concurrency.limits.limiter.SimpleLimiter;
import java.util.function.LongSupplier;

/** The limit on user requests in progress: it follows the measured times of answers, within bounds. */
final class ConcurrencyLimit {
    private static final int LEAST = 32;
    private static final int FIRST = 128;
    private static final int MOST = 1024;

    private ConcurrencyLimit() {}

    static Limiter<Void> create() {
        return create(System::nanoTime);
    }

    static Limiter<Void> create(LongSupplier nanos) {
        return SimpleLimiter.newBuilder()
                .nanoClock(nanos)
                .limit(Gradient2Limit.newBuilder()
                        .minLimit(LEAST)
                        .initialLimit(FIRST)
                        .maxConcurrency(MOST)
                        .build())
                .build();
    }
}
