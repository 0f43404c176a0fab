package stileferry.lifecycle;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.UserMessages;

/** Jobs that are over, as far as they were asked for lately. An ended job never changes, so nothing here is stale. */
public final class CompletedJobCache {
    /** Jobs for each socket: users ask again over some of these connections at a time. */
    private static final int MOST_EACH_SOCKET = 2;

    private final Cache<String, CompletedJob> cache;

    public CompletedJobCache(int maxSockets) {
        cache = CacheBuilder.newBuilder()
                .maximumSize((long) MOST_EACH_SOCKET * maxSockets)
                .concurrencyLevel(1)
                .build();
    }

    /** How a job ended. */
    public record CompletedJob(String how, int tasksDone) {
        public static CompletedJob read(JsonNode v) {
            return new CompletedJob(v.path("how").asText(), v.path("done").asInt());
        }

        ObjectNode write() {
            return MessageCodec.map().put("how", how).put("done", tasksDone);
        }

        public ObjectNode answer(String id) {
            return UserMessages.jobState(id, how, tasksDone, 0);
        }
    }

    public CompletedJob get(String id) {
        return cache.getIfPresent(id);
    }

    public void put(String id, CompletedJob ended) {
        cache.put(id, ended);
    }
}
