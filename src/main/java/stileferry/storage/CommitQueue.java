package stileferry.storage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.Environment;
import stileferry.protocol.KeyValue;
import stileferry.protocol.MessageCodec;

/**
 * The leader's durable records. Changes are marked, packed into conditional transactions and answered once they
 * are durable. Every transaction compares the leader key and the revision of each key it writes, so that one sent
 * by a former leader, or applied late, changes nothing.
 */
public final class CommitQueue {
    private static final Logger LOG = LoggerFactory.getLogger("ledger");

    static final int MAX_IN_FLIGHT = 8;

    /** Changes that any transaction may hold: a record of events, and one key put while another is deleted. */
    private static final int LEAST_CHANGES = 3;

    /** Changes worth waiting for where something is counted: the count costs one change for all of them. */
    private static final int GATHERED_FOR_COUNT = 5;

    /** The prefix of the records that hold events. */
    public static final String EVENT_LOG_PREFIX = EventLog.PREFIX;

    /** Bytes of a transaction, counted in JSON form, kept well below the service's 64 KiB. */
    private static final int MAX_BYTES = MessageCodec.MAX_BODY * 3 / 4;

    private final Environment environment;
    private final KeyValueStoreClient state;
    private final String fenceKey;
    private final long fenceRevision;
    private final String stampPrefix;
    private final Runnable onLost;
    private final ArrayDeque<StoredEntry> dirty = new ArrayDeque<>();
    private final EventLog events;
    private TransactionCounter counter = entries -> null;
    private int keptForCounter;
    private int inFlight;
    private long stamps;
    private boolean waiting;
    private boolean closed;

    /** A ledger for one term, fenced by the leader key at the revision it was written with. */
    public CommitQueue(
            Environment environment,
            KeyValueStoreClient state,
            String fenceKey,
            long fenceRevision,
            long term,
            Runnable onLost) {
        this.environment = environment;
        this.state = state;
        this.fenceKey = fenceKey;
        this.fenceRevision = fenceRevision;
        this.stampPrefix = Long.toString(term, 36) + "-";
        this.onLost = onLost;
        this.events = new EventLog(state.limits().maxValueKb(), EventLog.SLOTS, stampPrefix);
    }

    /** Sets who counts; called before anything is written. */
    public void setTransactionCounter(TransactionCounter newCounter) {
        counter = newCounter;
        keptForCounter = 1;
    }

    /** Takes in a record of events that was read from the service, in the order of their numbers. */
    public void restore(String key, long revision, long number, List<StoredEvent> held) {
        events.restore(key, revision, number, held);
    }

    /** Writes an event; the action runs once it is durable. */
    public void appendEvent(StoredEvent event, Runnable onDurable) {
        events.append(event, onDurable);
    }

    /** Marks a key as changed; the action runs once the change is durable. */
    public void put(StoredEntry entry, Runnable onDurable) {
        mark(entry, onDurable);
    }

    /** Marks a key as changed, before all that waits; the action runs once the change is durable. */
    public void putFirst(StoredEntry entry, Runnable onDurable) {
        mark(entry, onDurable);
        if (dirty.removeLastOccurrence(entry)) {
            dirty.addFirst(entry);
        }
    }

    /** Deletes a key. */
    public void delete(StoredEntry entry, Runnable onDurable) {
        entry.deleted = true;
        mark(entry, onDurable);
    }

    /** Puts one key and deletes another in the same transaction. */
    public void putAndDelete(StoredEntry put, StoredEntry delete, Runnable onDurable) {
        put.partner = delete;
        delete.partner = put;
        delete(delete, null);
        put(put, onDurable);
    }

    /** Changes not yet sent. */
    public int backlog() {
        return dirty.size() + events.backlog();
    }

    /** Transactions that were sent and have no known outcome. */
    public int inFlight() {
        return inFlight;
    }

    /** Stops everything; no action runs any more. */
    public void close() {
        closed = true;
        dirty.clear();
    }

    private void mark(StoredEntry entry, Runnable onDurable) {
        if (onDurable != null) {
            entry.waiting.add(onDurable);
        }
        if (!entry.marked) {
            entry.marked = true;
            dirty.add(entry);
        }
    }

    /** Sends what is marked, as far as the service's rate allows; at low load nothing waits for anything else. */
    public void flush() {
        while (!closed && inFlight < MAX_IN_FLIGHT && (!dirty.isEmpty() || events.hasPending())) {
            int wanted = dirty.size() + (events.hasPending() ? 1 : 0);
            int room = state.availableWrites();
            int gathered = Math.max(state.batchThreshold(), keptForCounter * GATHERED_FOR_COUNT);
            if (room < Math.min(Math.min(wanted, gathered), state.limits().maxTransactionOperations())) {
                if (!waiting) {
                    waiting = true;
                    state.afterRefill(() -> {
                        waiting = false;
                        flush();
                    });
                }
                return;
            }
            int most = Math.min(Math.max(LEAST_CHANGES, room), state.limits().maxTransactionOperations());
            CompareAndSwapTransaction transaction = pack(most - keptForCounter);
            if (transaction == null) {
                return;
            }
            inFlight++;
            send(transaction);
        }
    }

    private CompareAndSwapTransaction begin() {
        return new CompareAndSwapTransaction(stampPrefix + Long.toString(stamps++, 36), fenceKey, fenceRevision);
    }

    private CompareAndSwapTransaction begin(EventLog.Batch batch) {
        CompareAndSwapTransaction transaction = begin();
        transaction.add(batch.put(), batch.bytes());
        for (StoredEntry old : batch.deletions()) {
            old.deleted = true;
            transaction.add(old, 0);
        }
        transaction.actions.addAll(batch.actions());
        return transaction;
    }

    private CompareAndSwapTransaction pack(int limit) {
        CompareAndSwapTransaction transaction = null;
        EventLog.Batch batch = events.hasPending() ? events.nextBatch(limit) : null;
        if (batch != null) {
            transaction = begin(batch);
        }
        List<StoredEntry> passed = new ArrayList<>();
        for (int n = dirty.size(); n > 0 && !dirty.isEmpty(); n--) {
            StoredEntry entry = dirty.poll();
            if (!entry.marked) {
                continue; // went along with its partner
            }
            StoredEntry partner = entry.partner != null && entry.partner.marked ? entry.partner : null;
            if (entry.inFlight || entry.partner != null && entry.partner.inFlight) {
                passed.add(entry);
                continue;
            }
            int need = partner == null ? 1 : 2;
            if (transaction == null) {
                transaction = begin();
            } else if (transaction.entries.size() + need > limit || transaction.bytes > MAX_BYTES / 2) {
                passed.add(entry);
                break;
            }
            transaction.add(entry, -1);
            if (partner != null) {
                transaction.add(partner, -1);
            }
        }
        for (int i = passed.size() - 1; i >= 0; i--) {
            dirty.addFirst(passed.get(i));
        }
        addCount(transaction);
        return transaction;
    }

    /** What is counted is durable together with its count: neither can be lost or doubled without the other. */
    private void addCount(CompareAndSwapTransaction transaction) {
        StoredEntry count = transaction == null ? null : counter.count(List.copyOf(transaction.entries));
        if (count != null) {
            transaction.add(count, -1);
        }
    }

    private void send(CompareAndSwapTransaction transaction) {
        if (closed) {
            return;
        }
        state.commit(transaction.request, false, result -> {
            if (closed) {
                return;
            }
            switch (result.outcome()) {
                case APPLIED -> applied(transaction, result.revision());
                case CONFLICT -> {
                    if (transaction.ambiguous) {
                        verify(transaction);
                    } else {
                        lost();
                    }
                }
                case INVALID -> {
                    LOG.error("the state service calls a transaction malformed: {}", result.detail());
                    lost();
                }
                case NOT_APPLIED -> again(transaction, () -> send(transaction));
                case AMBIGUOUS -> {
                    transaction.ambiguous = true;
                    again(transaction, () -> send(transaction));
                }
            }
        });
    }

    private void again(CompareAndSwapTransaction transaction, Runnable next) {
        long pause = Math.min(1000, 50L << Math.min(5, transaction.tries++));
        environment.schedule(pause / 2 + environment.random().nextLong(pause), next);
    }

    /**
     * Learns whether an unanswered transaction was the one that made its own repetition fail. It is applied whole or
     * not at all, so one of its keys tells.
     */
    private void verify(CompareAndSwapTransaction transaction) {
        if (closed) {
            return;
        }
        StoredEntry entry = transaction.entries.stream()
                .filter(e -> !transaction.deletions.contains(e))
                .findFirst()
                .orElse(transaction.entries.get(0));
        state.get(entry.key, result -> {
            if (closed) {
                return;
            }
            boolean deleted = transaction.deletions.contains(entry);
            if (result.unknown()) {
                again(transaction, () -> verify(transaction));
            } else if (deleted && !result.found()) {
                applied(transaction, 0);
            } else if (!deleted && result.found() && stamp(result.row()).equals(transaction.stamp)) {
                applied(transaction, result.row().revision());
            } else {
                lost();
            }
        });
    }

    private static String stamp(KeyValue row) {
        return row.value().path(CompareAndSwapTransaction.STAMP).asText();
    }

    private void applied(CompareAndSwapTransaction transaction, long revision) {
        inFlight--;
        for (StoredEntry entry : transaction.entries) {
            entry.inFlight = false;
            // what was sent counts: the key may have been marked for deletion since
            entry.revision = transaction.deletions.contains(entry) ? 0 : revision;
        }
        transaction.actions.forEach(Runnable::run);
    }

    private void lost() {
        close();
        onLost.run();
    }
}
