package stileferry.storage;

import com.fasterxml.jackson.databind.node.ArrayNode;

/**
 * A small change that shares a record of the {@link EventLog} with others. It is written once, and again when its
 * record is overwritten while it still matters.
 */
public interface StoredEvent {
    /** Writes it into a record. */
    void write(ArrayNode into);

    /** Its size in JSON form, at most; no larger for what {@link #retainedFrom} returns. */
    int maxBytes();

    /** Notes the number of the record that holds it now. */
    void recordedIn(long record);

    /** What has to be written again when this record is overwritten; null: nothing. */
    StoredEvent retainedFrom(long record);

    /** Whether it ends what an older record may hold, so that it must not be lost before that record is. */
    boolean isTombstone();
}
