package stileferry.storage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import stileferry.protocol.KeyValueStoreProtocol.CommitRequest;

/**
 * A conditional transaction: keys with the revisions that they are compared with, and what is to run once it is
 * durable.
 */
final class CompareAndSwapTransaction {
    /** The field of each written value that names the transaction which wrote it. */
    static final String STAMP = "x";

    /** More than a change takes beside its value, in JSON form. */
    private static final int BYTES_EACH_CHANGE = 200;

    final List<StoredEntry> entries = new ArrayList<>();
    final Set<StoredEntry> deletions = new HashSet<>();
    final List<Runnable> actions = new ArrayList<>();
    final CommitRequest request = new CommitRequest();

    /** By which it is recognised if its answer is lost. */
    final String stamp;

    int bytes;
    boolean ambiguous;
    int tries;

    /** A transaction that fails unless the fence key stands at its revision. */
    CompareAndSwapTransaction(String stamp, String fenceKey, long fenceRevision) {
        this.stamp = stamp;
        request.compare(fenceKey, fenceRevision);
    }

    /** Takes a key in as it is now; its size is measured if it is not known (-1). */
    void add(StoredEntry entry, int knownBytes) {
        entry.marked = false;
        entry.inFlight = true;
        entries.add(entry);
        actions.addAll(entry.waiting);
        entry.waiting = new ArrayList<>();
        request.compare(entry.key, entry.revision);
        if (entry.guard != null && entry.revision == 0) {
            request.compare(entry.guard.key, entry.guard.revision);
        }
        bytes += BYTES_EACH_CHANGE;
        if (entry.deleted) {
            request.delete(entry.key);
            deletions.add(entry);
        } else {
            ObjectNode value = entry.value.get().put(STAMP, stamp);
            request.put(entry.key, value);
            bytes += knownBytes >= 0 ? knownBytes : value.toString().length();
        }
    }
}
