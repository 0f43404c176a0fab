package stileferry.storage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import stileferry.protocol.Environment;
import stileferry.protocol.MessageCodec;

/**
 * The leader's durable records, for one term. Changes wait here, are packed into compare-and-swap transactions and
 * acknowledged once they are durable. Every transaction compares the leader key and the revision of each key it
 * writes, so that one sent by a former leader, or applied late, changes nothing.
 */
public final class CommitQueue {
    /** The prefix of the records that hold events. */
    public static final String EVENT_LOG_PREFIX = EventLog.PREFIX;

    /** Transactions without a known outcome, at most. */
    static final int MAX_IN_FLIGHT = 8;

    /** Changes that any transaction may hold: a record of events, and one key put while another is deleted. */
    private static final int MIN_CHANGE_LIMIT = 3;

    /** Changes worth gathering where something is counted: the count costs one change for all of them. */
    private static final int BATCH_WHERE_COUNTED = 5;

    /** Bytes of a transaction, counted in JSON form, kept well below the store's limit. */
    private static final int MAX_BYTES = MessageCodec.MAX_BODY_BYTES * 3 / 4;

    private static final int RADIX = 36;

    private final KeyValueStoreClient store;
    private final String fenceKey;
    private final long fenceRevision;
    private final String stampPrefix;
    private final EventLog eventLog;
    private final TransactionCommitter committer;
    private final ArrayDeque<StoredEntry> pending = new ArrayDeque<>();
    private TransactionCounter counter = entries -> null;

    /** Changes of each transaction that are reserved for the count: 0 or 1. */
    private int reservedForCount;

    private long transactionsBegun;
    private boolean flushScheduled;
    private boolean closed;

    /**
     * A queue for one term, fenced by the leader key at the revision it was written with.
     *
     * @param onFenced runs when a transaction shows that another leader has written; the queue is closed then
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
        this.stampPrefix = Long.toString(term, RADIX) + "-";
        this.eventLog = new EventLog(store.limits().maxValueKb(), EventLog.SLOTS, stampPrefix);
        this.committer = new TransactionCommitter(environment, store, () -> {
            close();
            onFenced.run();
        });
    }

    /** Sets who counts; called before anything is written. */
    public void setTransactionCounter(TransactionCounter newCounter) {
        counter = newCounter;
        reservedForCount = 1;
    }

    /** Takes in a record of events that was read from the store, in the order of their numbers. */
    public void restore(String key, long revision, long number, List<StoredEvent> events) {
        eventLog.restore(key, revision, number, events);
    }

    // ---- changes

    /** Writes an event; the action (null: none) runs once it is durable. */
    public void appendEvent(StoredEvent event, Runnable onDurable) {
        eventLog.append(event, onDurable);
    }

    /** Writes a key; the action (null: none) runs once it is durable. */
    public void put(StoredEntry entry, Runnable onDurable) {
        enqueue(entry, onDurable);
    }

    /** Writes a key before all that waits; the action (null: none) runs once it is durable. */
    public void putFirst(StoredEntry entry, Runnable onDurable) {
        enqueue(entry, onDurable);
        if (pending.removeLastOccurrence(entry)) {
            pending.addFirst(entry);
        }
    }

    /** Puts one key and deletes another in the same transaction; the action (null: none) runs once it is durable. */
    public void putAndDelete(StoredEntry put, StoredEntry delete, Runnable onDurable) {
        put.partner = delete;
        delete.partner = put;
        delete.deleted = true;
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

    /** Changes not yet sent; events count as the records that they would fill. */
    public int backlog() {
        return pending.size() + eventLog.backlog();
    }

    /** Transactions that were sent and have no known outcome. */
    public int inFlight() {
        return committer.inFlight();
    }

    /** Stops everything; no action runs any more. */
    public void close() {
        closed = true;
        committer.close();
        pending.clear();
    }

    // ---- packing

    /** Sends what waits, as far as the store's rate allows; at low load nothing waits for anything else. */
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
        return Math.max(store.batchThreshold(), reservedForCount * BATCH_WHERE_COUNTED);
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

    /** Packs events and keys in the order in which they wait; null when all must wait for what is in flight. */
    private CompareAndSwapTransaction nextTransaction(int changeLimit) {
        CompareAndSwapTransaction transaction = beginWithEvents(changeLimit);
        List<StoredEntry> postponed = new ArrayList<>();
        for (int left = pending.size(); left > 0 && !pending.isEmpty(); left--) {
            StoredEntry entry = pending.poll();
            if (!entry.pending) {
                continue; // was packed along with its partner
            }
            if (entry.waitsForOutcome()) {
                postponed.add(entry);
                continue;
            }
            if (transaction == null) {
                transaction = begin();
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
        CompareAndSwapTransaction transaction = begin();
        transaction.add(batch.put(), batch.bytes());
        for (StoredEntry old : batch.deletions()) {
            old.deleted = true;
            transaction.add(old);
        }
        transaction.onDurable.addAll(batch.onDurable());
        return transaction;
    }

    private CompareAndSwapTransaction begin() {
        String stamp = stampPrefix + Long.toString(transactionsBegun++, RADIX);
        return new CompareAndSwapTransaction(stamp, fenceKey, fenceRevision);
    }

    private static boolean hasRoom(CompareAndSwapTransaction transaction, StoredEntry entry, int changeLimit) {
        int changes = entry.pendingPartner() == null ? 1 : 2;
        return transaction.entries.size() + changes <= changeLimit && transaction.bytes <= MAX_BYTES / 2;
    }

    private static void pack(CompareAndSwapTransaction transaction, StoredEntry entry) {
        StoredEntry partner = entry.pendingPartner();
        transaction.add(entry);
        if (partner != null) {
            transaction.add(partner);
        }
    }

    /** What is counted is durable together with its count: neither can be lost or doubled without the other. */
    private void addCount(CompareAndSwapTransaction transaction) {
        StoredEntry count = transaction == null ? null : counter.count(List.copyOf(transaction.entries));
        if (count != null) {
            transaction.add(count);
        }
    }
}
