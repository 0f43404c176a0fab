package stileferry.storage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import stileferry.protocol.Environment;
import stileferry.protocol.MessageCodec;

/**
 * Queues the changes to the leader's durable state during one term, packs them into compare-and-swap transactions and
 * acknowledges each change once it is durable. Every transaction compares the revisions of the leader key and of each
 * key that it writes, so a transaction that a former leader sent, or that is applied late, changes nothing.
 */
public final class CommitQueue {
    /** Prefix of the keys of event records. */
    public static final String EVENT_LOG_PREFIX = EventLog.PREFIX;

    /** Maximum number of transactions whose outcome is not known. */
    static final int MAX_IN_FLIGHT = 8;

    /**
     * Number of changes that a transaction may hold even if fewer writes are available: an event record, and a pair of
     * keys of which one is put and the other deleted.
     */
    private static final int MIN_CHANGE_LIMIT = 3;

    /**
     * Number of changes worth collecting for one transaction when admissions are counted: the count costs one change
     * per transaction, however many admissions it covers.
     */
    private static final int COUNTED_BATCH_THRESHOLD = 5;

    /** Intended maximum size of a transaction in JSON form, well below the store's limit. */
    private static final int MAX_TRANSACTION_BYTES = MessageCodec.MAX_BODY_BYTES * 3 / 4;

    private static final int TRANSACTION_ID_RADIX = 36;

    private final KeyValueStoreClient store;
    private final String fenceKey;
    private final long fenceRevision;
    private final String transactionIdPrefix;
    private final EventLog eventLog;
    private final TransactionCommitter committer;
    private final ArrayDeque<StoredEntry> pending = new ArrayDeque<>();
    private TransactionCounter counter = entries -> null;

    /** Number of changes reserved in each transaction for the count: 0 or 1. */
    private int reservedForCount;

    private long transactionsBegun;
    private boolean flushScheduled;
    private boolean closed;

    /**
     * Creates a queue for one term, fenced by the leader key at the revision at which this leader wrote it.
     *
     * @param onFenced runs, after the queue has been closed, when a transaction shows that another leader has written
     *     or when the store rejects a transaction as malformed
     */
    public CommitQueue(
            Environment environment,
            KeyValueStoreClient store,
            String fenceKey,
            long fenceRevision,
            long term,
            Runnable onFenced) {
        this.store = store;
        this.fenceKey = fenceKey;
        this.fenceRevision = fenceRevision;
        this.transactionIdPrefix = Long.toString(term, TRANSACTION_ID_RADIX) + "-";
        this.eventLog = new EventLog(store.limits().maxValueKb(), EventLog.SLOTS, transactionIdPrefix);
        this.committer = new TransactionCommitter(environment, store, () -> {
            close();
            onFenced.run();
        });
    }

    /** Sets the counter that adds its count to transactions; must be called before anything is written. */
    public void setTransactionCounter(TransactionCounter newCounter) {
        counter = newCounter;
        reservedForCount = 1;
    }

    /** Restores an event record that was read from the store; must be called in the order of record numbers. */
    public void restore(String key, long revision, long number, List<StoredEvent> events) {
        eventLog.restore(key, revision, number, events);
    }

    // ---- changes

    /** Queues an event; {@code onDurable}, which may be null, runs once it is durable. */
    public void appendEvent(StoredEvent event, Runnable onDurable) {
        eventLog.append(event, onDurable);
    }

    /** Queues a write of a key; {@code onDurable}, which may be null, runs once it is durable. */
    public void put(StoredEntry entry, Runnable onDurable) {
        enqueue(entry, onDurable);
    }

    /**
     * Queues a write of a key ahead of all other keys; {@code onDurable}, which may be null, runs once it is durable.
     */
    public void putFirst(StoredEntry entry, Runnable onDurable) {
        enqueue(entry, onDurable);
        if (pending.removeLastOccurrence(entry)) {
            pending.addFirst(entry);
        }
    }

    /**
     * Queues a put of one key and the deletion of another in the same transaction; {@code onDurable}, which may be
     * null, runs once both are durable.
     */
    public void putAndDelete(StoredEntry put, StoredEntry delete, Runnable onDurable) {
        put.pairedEntry = delete;
        delete.pairedEntry = put;
        delete.markedForDeletion = true;
        enqueue(delete, null);
        put(put, onDurable);
    }

    private void enqueue(StoredEntry entry, Runnable onDurable) {
        if (onDurable != null) {
            entry.onDurable.add(onDurable);
        }
        if (!entry.pending) {
            entry.pending = true;
            pending.add(entry);
        }
    }

    /** Returns the number of changes not yet sent; events count as the number of records that they would fill. */
    public int backlog() {
        return pending.size() + eventLog.backlog();
    }

    /** Returns the number of transactions that were sent and whose outcome is not known. */
    public int inFlight() {
        return committer.inFlight();
    }

    /** Closes the queue: drops pending changes, sends nothing more and runs no more actions. */
    public void close() {
        closed = true;
        committer.close();
        pending.clear();
    }

    // ---- packing transactions

    /**
     * Sends pending changes as far as the store's write rate allows. At low load a change does not wait for others to
     * be sent with.
     */
    public void flush() {
        while (!closed && committer.inFlight() < MAX_IN_FLIGHT && hasPending()) {
            int wanted = pending.size() + (eventLog.hasPending() ? 1 : 0);
            int available = store.availableWrites();
            if (available < Math.min(Math.min(wanted, batchThreshold()), maxOperations())) {
                flushLater();
                return;
            }
            int changeLimit = Math.min(Math.max(MIN_CHANGE_LIMIT, available), maxOperations());
            CompareAndSwapTransaction transaction = nextTransaction(changeLimit - reservedForCount);
            if (transaction == null) {
                return;
            }
            committer.commit(transaction);
        }
    }

    private boolean hasPending() {
        return !pending.isEmpty() || eventLog.hasPending();
    }

    private int batchThreshold() {
        return Math.max(store.batchThreshold(), reservedForCount * COUNTED_BATCH_THRESHOLD);
    }

    private int maxOperations() {
        return store.limits().maxTransactionOperations();
    }

    private void flushLater() {
        if (!flushScheduled) {
            flushScheduled = true;
            store.afterRefill(() -> {
                flushScheduled = false;
                flush();
            });
        }
    }

    /**
     * Packs pending events, then pending keys in queue order, into a transaction. Returns null if all of them have to
     * wait for transactions in flight.
     */
    private CompareAndSwapTransaction nextTransaction(int changeLimit) {
        CompareAndSwapTransaction transaction = beginWithEvents(changeLimit);
        List<StoredEntry> postponed = new ArrayList<>();
        for (int left = pending.size(); left > 0 && !pending.isEmpty(); left--) {
            StoredEntry entry = pending.poll();
            if (!entry.pending) {
                continue; // was already packed together with its paired entry
            }
            if (entry.waitsForOutcome()) {
                postponed.add(entry);
                continue;
            }
            if (transaction == null) {
                transaction = beginTransaction();
            } else if (!hasRoom(transaction, entry, changeLimit)) {
                postponed.add(entry);
                break;
            }
            pack(transaction, entry);
        }
        for (int i = postponed.size() - 1; i >= 0; i--) {
            pending.addFirst(postponed.get(i));
        }
        addCount(transaction);
        return transaction;
    }

    private CompareAndSwapTransaction beginWithEvents(int changeLimit) {
        EventLog.Batch batch = eventLog.hasPending() ? eventLog.nextBatch(changeLimit) : null;
        if (batch == null) {
            return null;
        }
        CompareAndSwapTransaction transaction = beginTransaction();
        transaction.add(batch.put(), batch.bytes());
        for (StoredEntry old : batch.deletions()) {
            old.markedForDeletion = true;
            transaction.add(old);
        }
        transaction.onDurable.addAll(batch.onDurable());
        return transaction;
    }

    private CompareAndSwapTransaction beginTransaction() {
        String id = transactionIdPrefix + Long.toString(transactionsBegun++, TRANSACTION_ID_RADIX);
        return new CompareAndSwapTransaction(id, fenceKey, fenceRevision);
    }

    private static boolean hasRoom(CompareAndSwapTransaction transaction, StoredEntry entry, int changeLimit) {
        int changes = entry.pendingPairedEntry() == null ? 1 : 2;
        return transaction.entries.size() + changes <= changeLimit && transaction.bytes <= MAX_TRANSACTION_BYTES / 2;
    }

    private static void pack(CompareAndSwapTransaction transaction, StoredEntry entry) {
        StoredEntry pairedEntry = entry.pendingPairedEntry();
        transaction.add(entry);
        if (pairedEntry != null) {
            transaction.add(pairedEntry);
        }
    }

    /**
     * Adds the count to a transaction that contains counted keys. Keys and count become durable together, so neither
     * can be lost or applied twice without the other.
     */
    private void addCount(CompareAndSwapTransaction transaction) {
        StoredEntry count = transaction == null ? null : counter.count(List.copyOf(transaction.entries));
        if (count != null) {
            transaction.add(count);
        }
    }
}
