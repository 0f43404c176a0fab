package stileferry.storage;

import java.util.List;

/** Keeps an exact count of keys that are written for the first time, in the transactions that write them. */
public interface TransactionCounter {
    /**
     * Counts those keys of a transaction that are registered to be counted.
     *
     * @return the key that holds their count and is put with them, not in flight; null: none of them counts
     */
    StoredEntry count(List<StoredEntry> entries);
}
