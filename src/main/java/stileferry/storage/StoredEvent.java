package stileferry.storage;

import com.fasterxml.jackson.databind.node.ArrayNode;

/**
 * A small change that shares a record of the {@link EventLog} with others. It is written once, and written again
 * whenever its record is overwritten while the event is still needed.
 */
public interface StoredEvent {
    /** Appends the event's fields to the array that represents it in a record. */
    void write(ArrayNode into);

    /**
     * Returns an upper bound of the event's size in JSON form. The event that {@link #retainedFrom} returns must not
     * have a larger bound.
     */
    int maxBytes();

    /** Called with the number of the record that holds the event from now on. */
    void recordedIn(long recordNumber);

    /**
     * Returns the event that has to be written again when the given record is overwritten, or null if there is none.
     */
    StoredEvent retainedFrom(long recordNumber);

    /**
     * Returns whether the event makes an event in an older record obsolete, so that it must not be dropped before that
     * record has been overwritten.
     */
    boolean isTombstone();
}
