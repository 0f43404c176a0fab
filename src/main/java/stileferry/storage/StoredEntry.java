package stileferry.storage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import stileferry.protocol.MessageCodec;

/**
 * One key of the leader's durable state. Its value is generated from the leader's in-memory state whenever the key is
 * written, so a key that changes several times while it is pending is written once.
 */
public final class StoredEntry {
    final String key;

    /** The key's revision when last read or written, or 0 if the key does not exist. */
    long revision;

    /** Whether it waits to be packed into a transaction. It may be in flight with an older value at the same time. */
    boolean pending;

    /** Whether it is part of a transaction whose outcome is not known. */
    boolean inFlight;

    /** Whether the key is to be deleted instead of put. */
    boolean markedForDeletion;

    /** The entry that must be put or deleted in the same transaction, or null if there is none. */
    StoredEntry pairedEntry;

    /** The entry whose revision is compared as well when this key is first written, or null if there is none. */
    StoredEntry requiredUnchanged;

    /** Actions that run once the pending change is durable. */
    List<Runnable> onDurable = new ArrayList<>();

    private final Supplier<ObjectNode> value;

    /**
     * Creates an entry that is not pending.
     *
     * @param revision the key's revision when last read, or 0 if the key does not exist
     * @param value generates the value whenever the key is written
     */
    public StoredEntry(String key, long revision, Supplier<ObjectNode> value) {
        this.key = key;
        this.revision = revision;
        this.value = value;
    }

    /**
     * Makes the first write of this key conditional on another key being unchanged. Without this condition, a
     * transaction that is applied late for a second time could bring back a key that has been put and deleted since.
     */
    public StoredEntry requireUnchanged(StoredEntry other) {
        requiredUnchanged = other;
        return this;
    }

    /** Makes the first write of this key conditional on another key not existing. */
    public StoredEntry requireAbsent(String other) {
        return requireUnchanged(new StoredEntry(other, 0, MessageCodec::map));
    }

    /** Returns whether the entry is part of a transaction whose outcome is not known. */
    public boolean inFlight() {
        return inFlight;
    }

    /** Returns the key under which the value is stored. */
    public String key() {
        return key;
    }

    /** Returns the value that would be written now. */
    public ObjectNode value() {
        return value.get();
    }

    /** Returns whether the entry can't be packed until the outcome of another transaction is known. */
    boolean waitsForOutcome() {
        return inFlight || pairedEntry != null && pairedEntry.inFlight;
    }

    /** Returns the paired entry if it is pending too, else null. */
    StoredEntry pendingPairedEntry() {
        return pairedEntry != null && pairedEntry.pending ? pairedEntry : null;
    }
}
