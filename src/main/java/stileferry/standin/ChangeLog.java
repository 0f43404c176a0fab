package stileferry.standin;

import static stileferry.protocol.KeyValueStoreProtocol.DELETE;
import static stileferry.protocol.KeyValueStoreProtocol.EVENTS;
import static stileferry.protocol.KeyValueStoreProtocol.KEY_REVISION;
import static stileferry.protocol.KeyValueStoreProtocol.PUT;
import static stileferry.protocol.KeyValueStoreProtocol.STORE_REVISION;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import stileferry.protocol.Environment;
import stileferry.protocol.MessageCodec;

/** Recent changes of the stand-in store's keys, and the watches that wait for more. */
final class ChangeLog {
    /** Changes kept for watches that start from an earlier revision. */
    private static final int MAX_CHANGES = 10_000;

    private final LongSupplier storeRevision;
    private final List<Change> changes = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();

    private record Change(String key, boolean deleted, long revision) {}

    private record Watch(String prefix, long afterRevision, long expiresAt, Environment.ResponseHandler reply) {}

    ChangeLog(LongSupplier storeRevision) {
        this.storeRevision = storeRevision;
    }

    void recordPut(String key, long revision) {
        changes.add(new Change(key, false, revision));
    }

    void recordDeletion(String key, long revision) {
        changes.add(new Change(key, true, revision));
    }

    /** Replies with the changes after a revision as soon as there are any, or without any when the watch expires. */
    void watch(String prefix, long afterRevision, long expiresAt, Environment.ResponseHandler reply) {
        ObjectNode response = changesSince(prefix, afterRevision);
        if (response.path(EVENTS).isEmpty()) {
            watches.add(new Watch(prefix, afterRevision, expiresAt, reply));
        } else {
            reply.onResponse(200, response);
        }
    }

    /** Replies to the watches that have changes to report, and discards the oldest changes. */
    void notifyWatches() {
        for (Watch watch : List.copyOf(watches)) {
            ObjectNode response = changesSince(watch.prefix, watch.afterRevision);
            if (!response.path(EVENTS).isEmpty()) {
                watches.remove(watch);
                watch.reply.onResponse(200, response);
            }
        }
        while (changes.size() > MAX_CHANGES) {
            changes.remove(0);
        }
    }

    /** Replies to the watches that have expired. */
    void expireWatches(long now) {
        for (Watch watch : List.copyOf(watches)) {
            if (watch.expiresAt <= now) {
                watches.remove(watch);
                watch.reply.onResponse(200, changesSince(watch.prefix, watch.afterRevision));
            }
        }
    }

    private ObjectNode changesSince(String prefix, long afterRevision) {
        ObjectNode response = MessageCodec.map().put(STORE_REVISION, storeRevision.getAsLong());
        ArrayNode events = response.putArray(EVENTS);
        for (Change change : changes) {
            if (change.revision > afterRevision && change.key.startsWith(prefix)) {
                events.addObject()
                        .put(change.deleted ? DELETE : PUT, change.key)
                        .put(KEY_REVISION, change.revision);
            }
        }
        return response;
    }
}
