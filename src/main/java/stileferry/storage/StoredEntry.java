package stileferry.storage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import stileferry.protocol.MessageCodec;

/** One key; its value is made anew from the owner's state whenever it is written. */
public final class StoredEntry {
    final String key;
    final Supplier<ObjectNode> value;
    long revision;
    boolean marked;
    boolean inFlight;
    boolean deleted;
    StoredEntry partner;
    StoredEntry guard;
    List<Runnable> waiting = new ArrayList<>();

    /** A key with the revision last read (0: does not exist). */
    public StoredEntry(String key, long revision, Supplier<ObjectNode> value) {
        this.key = key;
        this.revision = revision;
        this.value = value;
    }

    /**
     * Names a key that must stand as it does for this one to be written for the first time. Found with
     * transactions that were carried out late once more: a key that has been put and deleted since looks as if it
     * had never been.
     */
    public StoredEntry requireUnchanged(StoredEntry other) {
        guard = other;
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
}
