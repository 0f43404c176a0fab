package stileferry.storage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import stileferry.protocol.KeyValue;
import stileferry.protocol.KeyValueStoreProtocol.CommitRequest;

/**
 * A compare-and-swap transaction: the keys that it writes, the revisions that it compares, and the actions that run
 * once it is durable. Its id is stored in every value that it writes, so that a transaction whose response was lost can
 * be recognised as applied.
 */
final class CompareAndSwapTransaction {
    private static final String ID_FIELD = "x";

    /** Upper bound of the size of a change without its value, in JSON form. */
    private static final int MAX_CHANGE_OVERHEAD_BYTES = 200;

    final List<StoredEntry> entries = new ArrayList<>();
    final List<Runnable> onDurable = new ArrayList<>();
    final CommitRequest request = new CommitRequest();

    /** Upper bound of the transaction's size in JSON form. */
    int bytes;

    /** Whether it was sent at least once without a response that tells whether it was applied. */
    boolean ambiguous;

    int retries;

    private final String id;
    private final Set<StoredEntry> deletions = new HashSet<>();

    /** Creates an empty transaction that the store applies only if the fence key has the given revision. */
    CompareAndSwapTransaction(String id, String fenceKey, long fenceRevision) {
        this.id = id;
        request.compare(fenceKey, fenceRevision);
    }

    /** Adds an entry with its current value, or its deletion if it is marked for deletion. */
    void add(StoredEntry entry) {
        addEntry(entry);
        if (entry.markedForDeletion) {
            request.delete(entry.key);
            deletions.add(entry);
        } else {
            bytes += put(entry).toString().length();
        }
    }

    /** Adds a put of an entry with its current value, whose size in JSON form is at most {@code valueBytes}. */
    void add(StoredEntry entry, int valueBytes) {
        addEntry(entry);
        put(entry);
        bytes += valueBytes;
    }

    private void addEntry(StoredEntry entry) {
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

    /** Returns whether this transaction deletes the entry's key. */
    boolean deletes(StoredEntry entry) {
        return deletions.contains(entry);
    }

    /** Returns whether the row holds a value that this transaction wrote. */
    boolean wrote(KeyValue row) {
        return row.value().path(ID_FIELD).asText().equals(id);
    }

    /**
     * Returns the entry to read back in order to find out whether the transaction was applied: one that it puts, if
     * there is any.
     */
    StoredEntry entryToReadBack() {
        return entries.stream().filter(entry -> !deletes(entry)).findFirst().orElse(entries.get(0));
    }
}
