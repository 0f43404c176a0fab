package stileferry.storage;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.Environment;
import stileferry.protocol.KeyValueStoreProtocol.CommitResult;
import stileferry.protocol.KeyValueStoreProtocol.ReadResult;

/**
 * Sends each transaction until its outcome is known. A transaction that was not applied is retried unchanged. If a
 * transaction whose outcome was ambiguous fails its comparison when it is retried, an earlier attempt may have been
 * applied: one of its keys is read back, and the transaction id in its value shows whether it was.
 */
final class TransactionCommitter {
    private static final Logger LOG = LoggerFactory.getLogger("commits");

    private static final long MIN_RETRY_DELAY_MS = 50;
    private static final long MAX_RETRY_DELAY_MS = 1000;
    private static final int MAX_RETRY_DOUBLINGS = 5;

    private final Environment environment;
    private final KeyValueStoreClient store;
    private final Runnable onFenced;
    private int inFlight;
    private boolean closed;

    /**
     * Creates a committer.
     *
     * @param onFenced runs when a transaction shows that another leader has written, or when the store rejects a
     *     transaction as malformed
     */
    TransactionCommitter(Environment environment, KeyValueStoreClient store, Runnable onFenced) {
        this.environment = environment;
        this.store = store;
        this.onFenced = onFenced;
    }

    /** Returns the number of transactions whose outcome is not known. */
    int inFlight() {
        return inFlight;
    }

    /** Closes the committer: nothing is sent and no action runs any more. */
    void close() {
        closed = true;
    }

    /** Sends a transaction and retries it as needed; its actions run once it is durable. */
    void commit(CompareAndSwapTransaction transaction) {
        inFlight++;
        send(transaction);
    }

    private void send(CompareAndSwapTransaction transaction) {
        if (closed) {
            return;
        }
        store.commit(transaction.request, false, result -> {
            if (!closed) {
                handleResult(transaction, result);
            }
        });
    }

    private void handleResult(CompareAndSwapTransaction transaction, CommitResult result) {
        switch (result.outcome()) {
            case APPLIED -> handleApplied(transaction, result.revision());
            case CONFLICT -> handleConflict(transaction);
            case INVALID -> {
                LOG.error("key-value store rejected a malformed transaction: response={}", result.detail());
                onFenced.run();
            }
            case NOT_APPLIED -> retryLater(transaction, () -> send(transaction));
            case AMBIGUOUS -> {
                transaction.ambiguous = true;
                retryLater(transaction, () -> send(transaction));
            }
        }
    }

    private void handleConflict(CompareAndSwapTransaction transaction) {
        if (transaction.ambiguous) {
            readBack(transaction);
        } else {
            onFenced.run();
        }
    }

    private void retryLater(CompareAndSwapTransaction transaction, Runnable retry) {
        int doublings = Math.min(MAX_RETRY_DOUBLINGS, transaction.retries++);
        long delayMs = Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS << doublings);
        environment.schedule(delayMs / 2 + environment.random().nextLong(delayMs), retry);
    }

    /** Reads one key back; one is enough, because a transaction is applied atomically. */
    private void readBack(CompareAndSwapTransaction transaction) {
        if (closed) {
            return;
        }
        StoredEntry entry = transaction.entryToReadBack();
        store.get(entry.key, result -> {
            if (!closed) {
                handleReadBack(transaction, entry, result);
            }
        });
    }

    private void handleReadBack(CompareAndSwapTransaction transaction, StoredEntry entry, ReadResult result) {
        boolean deleted = transaction.deletes(entry);
        if (result.unknown()) {
            retryLater(transaction, () -> readBack(transaction));
        } else if (deleted && !result.found()) {
            handleApplied(transaction, 0);
        } else if (!deleted && result.found() && transaction.wrote(result.row())) {
            handleApplied(transaction, result.row().revision());
        } else {
            onFenced.run();
        }
    }

    private void handleApplied(CompareAndSwapTransaction transaction, long revision) {
        inFlight--;
        for (StoredEntry entry : transaction.entries) {
            entry.inFlight = false;
            // What was sent decides here, because the entry may have been marked for deletion since.
            entry.revision = transaction.deletes(entry) ? 0 : revision;
        }
        transaction.onDurable.forEach(Runnable::run);
    }
}
