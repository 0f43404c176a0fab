package stileferry.admission;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;

/** Creates bounded sets of job ids that forget the least recently used ones. */
final class JobIdCache {
    private JobIdCache() {}

    static Cache<String, Boolean> ofSize(long maxJobs) {
        return CacheBuilder.newBuilder()
                .maximumSize(maxJobs)
                .concurrencyLevel(1)
                .build();
    }
}
