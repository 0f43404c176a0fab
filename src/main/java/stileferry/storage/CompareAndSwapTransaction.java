package stileferry.storage;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import stileferry.protocol.MessageCodec;

/**
 * A conditional transaction: keys with the revisions that they are compared with, and what is to run once it is
 * durable.
 */
final class CompareAndSwapTransaction {
    /** More than a change takes beside its value, in JSON form. */
    private static final int BYTES_EACH_CHANGE = 200;

    final List<StoredEntry> entries = new ArrayList<>();
    final Set<StoredEntry> deletions = new HashSet<>();
    final List<Runnable> actions = new ArrayList<>();
    final ObjectNode body = MessageCodec.map();

    /** By which it is recognised if its answer is lost. */
    final String stamp;

    int bytes;
    boolean ambiguous;
    int tries;

    private final ArrayNode conditions;
    private final ArrayNode changes;

    /** A transaction that fails unless the fence key stands at its revision. */
    CompareAndSwapTransaction(String stamp, String fenceKey, long fenceRevision) {
        this.stamp = stamp;
        this.conditions = body.putArray("if");
        this.changes = body.putArray("apply");
        compare(fenceKey, fenceRevision);
    }

    private void compare(String key, long revision) {
        conditions.addObject().put("path", key).put("entry_rev", revision);
    }

    /** Takes a key in as it is now; its size is measured if it is not known (-1). */
    void add(StoredEntry entry, int knownBytes) {
        entry.marked = false;
        entry.inFlight = true;
        entries.add(entry);
        actions.addAll(entry.waiting);
        entry.waiting = new ArrayList<>();
        compare(entry.key, entry.revision);
        if (entry.guard != null && entry.revision == 0) {
            compare(entry.guard.key, entry.guard.revision);
        }
        bytes += BYTES_EACH_CHANGE;
        if (entry.deleted) {
            changes.addObject().put("delete", entry.key);
            deletions.add(entry);
        } else {
            ObjectNode value = entry.value.get().put("x", stamp);
            changes.addObject().put("put", entry.key).set("v", value);
            bytes += knownBytes >= 0 ? knownBytes : value.toString().length();
        }
    }
}
