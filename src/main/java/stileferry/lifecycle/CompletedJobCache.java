package stileferry.lifecycle;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;

/** Caches the completed jobs that were requested recently. A completed job never changes, so no entry is stale. */
public final class CompletedJobCache {
    /** Cached jobs per socket: users ask again and again for a few jobs over each connection. */
    private static final int JOBS_PER_SOCKET = 2;

    private final Cache<String, CompletedJob> cache;

    /**
     * Creates an empty cache.
     *
     * @param maxSockets the settings' limit on connections, which determines the size of the cache
     */
    public CompletedJobCache(int maxSockets) {
        cache = CacheBuilder.newBuilder()
                .maximumSize((long) JOBS_PER_SOCKET * maxSockets)
                .concurrencyLevel(1)
                .build();
    }

    /** Returns a completed job by its id, or null if it is not cached. */
    public CompletedJob get(String id) {
        return cache.getIfPresent(id);
    }

    public void put(String id, CompletedJob completed) {
        cache.put(id, completed);
    }
}
