package stileferry.storage;

/**
 * An event that ends what an older record holds. It is not retained when its own record is given up: records are given
 * up in the order of their numbers, so the older one is gone by then.
 */
public interface TombstoneEvent extends StoredEvent {
    @Override
    default void recordedIn(long record) {}

    @Override
    default StoredEvent retainedFrom(long record) {
        return null;
    }

    @Override
    default boolean isTombstone() {
        return true;
    }
}
