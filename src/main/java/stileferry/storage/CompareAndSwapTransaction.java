package stileferry.storage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import stileferry.protocol.KeyValue;
import stileferry.protocol.KeyValueStoreProtocol.CommitRequest;

/**
 * A compare-and-swap transaction: keys with the revisions that they are compared with, and what is to run once it is
 * durable. Its stamp stands in every value that it writes, so that it is recognised if its answer is lost.
 */
final class CompareAndSwapTransaction {
    private static final String ID_FIELD = "x";

    /** More than a change takes beside its value, in JSON form. */
    private static final int MAX_CHANGE_OVERHEAD_BYTES = 200;

    final List<StoredEntry> entries = new ArrayList<>();
    final List<Runnable> onDurable = new ArrayList<>();
    final CommitRequest request = new CommitRequest();

    /** An upper bound of its size in JSON form. */
    int bytes;

    /** It was sent without a response that says whether it was applied. */
    boolean ambiguous;

    int retries;

    private final String id;
    private final Set<StoredEntry> deletions = new HashSet<>();

    /** A transaction that fails unless the fence key stands at its revision. */
    CompareAndSwapTransaction(String stamp, String fenceKey, long fenceRevision) {
        this.id = stamp;
        request.compare(fenceKey, fenceRevision);
    }

    /** Takes a key in as it is now. */
    void add(StoredEntry entry) {
        addCondition(entry);
        if (entry.markedForDeletion) {
            request.delete(entry.key);
            deletions.add(entry);
        } else {
            bytes += put(entry).toString().length();
        }
    }

    /** Takes a key in as it is now, whose value's size is known. */
    void add(StoredEntry entry, int valueBytes) {
        addCondition(entry);
        put(entry);
        bytes += valueBytes;
    }

    private void addCondition(StoredEntry entry) {
        entry.pending = false;
        entry.inFlight = true;
        entries.add(entry);
        onDurable.addAll(entry.onDurable);
        entry.onDurable = new ArrayList<>();
        request.compare(entry.key, entry.revision);
        if (entry.requiredUnchanged != null && entry.revision == 0) {
            request.compare(entry.requiredUnchanged.key, entry.requiredUnchanged.revision);
        }
        bytes += MAX_CHANGE_OVERHEAD_BYTES;
    }

    private ObjectNode put(StoredEntry entry) {
        ObjectNode value = entry.value().put(ID_FIELD, id);
        request.put(entry.key, value);
        return value;
    }

    boolean deletes(StoredEntry entry) {
        return deletions.contains(entry);
    }

    /** Whether this transaction has written a row. */
    boolean wrote(KeyValue row) {
        return row.value().path(ID_FIELD).asText().equals(id);
    }

    /** The key by which to recognise whether the transaction was applied: one that it puts, if there is any. */
    StoredEntry entryToReadBack() {
        return entries.stream().filter(entry -> !deletes(entry)).findFirst().orElse(entries.get(0));
    }
}
