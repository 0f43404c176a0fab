package stileferry.storage;

import java.util.List;

/** Keeps an exact count of keys written for the first time, as part of the transactions that write them. */
public interface TransactionCounter {
    /**
     * Counts those entries of a transaction that are registered to be counted.
     *
     * @return the entry that holds the count and is put in the same transaction, which must not be in flight, or null
     *     if none of the entries is counted
     */
    StoredEntry count(List<StoredEntry> entries);
}
