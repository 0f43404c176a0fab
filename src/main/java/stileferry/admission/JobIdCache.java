package stileferry.admission;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;

/** Creates bounded sets of job ids that evict the least recently used ids. */
final class JobIdCache {
    private JobIdCache() {}

    static Cache<String, Boolean> ofSize(long maxJobs) {
        return CacheBuilder.newBuilder()
                .maximumSize(maxJobs)
                .concurrencyLevel(1)
                .build();
    }
}
