package stileferry.lifecycle;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;

/** The completed jobs that were asked for lately. A completed job never changes, so nothing here is stale. */
public final class CompletedJobCache {
    /** Users ask again and again for a few jobs over each connection. */
    private static final int JOBS_PER_SOCKET = 2;

    private final Cache<String, CompletedJob> cache;

    /** An empty cache; {@code maxSockets}: the settings' limit on connections, by which its size is chosen. */
    public CompletedJobCache(int maxSockets) {
        cache = CacheBuilder.newBuilder()
                .maximumSize((long) JOBS_PER_SOCKET * maxSockets)
                .concurrencyLevel(1)
                .build();
    }

    /** A completed job by its id; null: it is not in the cache. */
    public CompletedJob get(String id) {
        return cache.getIfPresent(id);
    }

    public void put(String id, CompletedJob completed) {
        cache.put(id, completed);
    }
}
