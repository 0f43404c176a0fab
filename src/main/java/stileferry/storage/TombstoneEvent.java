package stileferry.storage;

/**
 * An event that makes an event in an older record obsolete. It is not retained when its own record is overwritten:
 * records are overwritten in the order of their numbers, so the older record is gone by then.
 */
public interface TombstoneEvent extends StoredEvent {
    @Override
    default void recordedIn(long recordNumber) {}

    @Override
    default StoredEvent retainedFrom(long recordNumber) {
        return null;
    }

    @Override
    default boolean isTombstone() {
        return true;
    }
}
