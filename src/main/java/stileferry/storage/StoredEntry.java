package stileferry.storage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import stileferry.protocol.MessageCodec;

/**
 * One key of the leader's durable records. Its value is made anew from the leader's state whenever it is written, so a
 * key that changes while it waits is written once.
 */
public final class StoredEntry {
    final String key;

    /** The key's revision as last read or written; 0: it does not exist. */
    long revision;

    /** It waits to be packed into a transaction; it may be in flight at the same time, with an older value. */
    boolean pending;

    /** A transaction with it has no known outcome. */
    boolean inFlight;

    /** It is to be deleted instead of written. */
    boolean markedForDeletion;

    /** The entry that is written or deleted in the same transaction; null: none. */
    StoredEntry pairedEntry;

    /** The entry that must stand as it does for this one to be written for the first time; null: none. */
    StoredEntry requiredUnchanged;

    /** What runs once the pending change is durable. */
    List<Runnable> onDurable = new ArrayList<>();

    private final Supplier<ObjectNode> value;

    /** A key with the revision last read (0: does not exist). */
    public StoredEntry(String key, long revision, Supplier<ObjectNode> value) {
        this.key = key;
        this.revision = revision;
        this.value = value;
    }

    /**
     * Names a key that must stand as it does for this one to be written for the first time. Without it a transaction
     * carried out late once more would bring a key back that has been put and deleted since.
     */
    public StoredEntry requireUnchanged(StoredEntry other) {
        requiredUnchanged = other;
        return this;
    }

    /** Names a key that must not exist for this one to be written for the first time. */
    public StoredEntry requireAbsent(String other) {
        return requireUnchanged(new StoredEntry(other, 0, MessageCodec::map));
    }

    /** Whether a transaction with it has no known outcome. */
    public boolean inFlight() {
        return inFlight;
    }

    /** The key. */
    public String key() {
        return key;
    }

    /** The value as it would be written now. */
    public ObjectNode value() {
        return value.get();
    }

    /** Whether it can't be packed until the outcome of another transaction is known. */
    boolean waitsForOutcome() {
        return inFlight || pairedEntry != null && pairedEntry.inFlight;
    }

    /** The partner, if it waits too; null: none does. */
    StoredEntry pendingPairedEntry() {
        return pairedEntry != null && pairedEntry.pending ? pairedEntry : null;
    }
}
