package stileferry.transport;

import com.netflix.concurrency.limits.Limiter;
import com.netflix.concurrency.limits.limit.Gradient2Limit;
import com.netflix.concurrency.limits.limiter.SimpleLimiter;
import java.util.function.LongSupplier;

/** Creates limiters of concurrent user requests whose limit adapts to the measured response times, within bounds. */
final class ConcurrencyLimit {
    private static final int MIN_REQUESTS = 32;
    private static final int INITIAL_REQUESTS = 128;
    private static final int MAX_REQUESTS = 1024;

    private ConcurrencyLimit() {}

    static Limiter<Void> create() {
        return create(System::nanoTime);
    }

    static Limiter<Void> create(LongSupplier nanoClock) {
        return SimpleLimiter.newBuilder()
                .nanoClock(nanoClock)
                .limit(Gradient2Limit.newBuilder()
                        .minLimit(MIN_REQUESTS)
                        .initialLimit(INITIAL_REQUESTS)
                        .maxConcurrency(MAX_REQUESTS)
                        .build())
                .build();
    }
}
