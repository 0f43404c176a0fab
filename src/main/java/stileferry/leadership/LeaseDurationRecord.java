package stileferry.leadership;

import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.Environment;
import stileferry.protocol.KeyValueStoreProtocol.CommitRequest;
import stileferry.protocol.KeyValueStoreProtocol.CommitResult;
import stileferry.storage.KeyValueStoreClient;

/**
 * Records in the stored term how long the lease of the leaders of this fleet has to be, so that the next leader begins
 * with it even if its process has just started. Each write compares the leader key's revision, as all of a leader's do.
 */
final class LeaseDurationRecord {
    private static final Logger LOG = LoggerFactory.getLogger("leadership");

    /** Ratio of the longer to the shorter of the needed and the recorded duration from which on it is recorded. */
    private static final double RECORDED_FROM_RATIO = 1.25;

    /** How long a leader has to lead before it records a shorter duration: until then it does not know its fleet. */
    private static final long SHORTER_AFTER_MS = 120_000;

    private final Environment environment;
    private final KeyValueStoreClient store;
    private final long usualMs;
    private final BooleanSupplier leaseHeld;

    /** The stored term of this leader; null if it does not lead or has lost track of the record. */
    private TermRecord record;

    private long leaderRevision;
    private long begunAt;
    private boolean inFlight;

    /**
     * Creates a record without a term.
     *
     * @param usualMs the duration that is recorded as 0
     */
    LeaseDurationRecord(Environment environment, KeyValueStoreClient store, long usualMs, BooleanSupplier leaseHeld) {
        this.environment = environment;
        this.store = store;
        this.usualMs = usualMs;
        this.leaseHeld = leaseHeld;
    }

    /** Begins the term that this controller has won. */
    void beginTerm(TermRecord won, long newLeaderRevision) {
        record = won;
        leaderRevision = newLeaderRevision;
        begunAt = environment.now();
        inFlight = false;
    }

    void endTerm() {
        record = null;
    }

    /**
     * Records the duration that leaders need, unless about the same is recorded, or a longer one and this leader has
     * not led for long.
     */
    void update(long neededMs) {
        if (record == null || inFlight || !leaseHeld.getAsBoolean() || isRecorded(neededMs)) {
            return;
        }
        TermRecord next = record.withLeaseMs(neededMs > usualMs ? neededMs : 0);
        CommitRequest request = new CommitRequest()
                .compare(LeaderElection.LEADER_KEY, leaderRevision)
                .compare(LeaderElection.TERM_KEY, record.revision())
                .put(LeaderElection.TERM_KEY, next.write());
        inFlight = true;
        store.commit(request, true, result -> {
            if (record != null && record.term() == next.term()) {
                inFlight = false;
                handleResult(next, result);
            }
        });
    }

    private boolean isRecorded(long neededMs) {
        double recordedMs = Math.max(usualMs, record.leaseMs());
        if (neededMs < recordedMs) {
            return recordedMs < RECORDED_FROM_RATIO * neededMs || environment.now() - begunAt < SHORTER_AFTER_MS;
        }
        return neededMs < RECORDED_FROM_RATIO * recordedMs;
    }

    private void handleResult(TermRecord next, CommitResult result) {
        switch (result.outcome()) {
            case APPLIED -> {
                LOG.info("lease of leaders recorded: term={} lease_ms={}", next.term(), next.leaseMs());
                record = next.atRevision(result.revision());
            }
            // A write without an answer may have been applied, so the revision to compare is not known any more.
            case CONFLICT, INVALID -> record = null;
            case NOT_APPLIED, AMBIGUOUS -> {}
        }
    }
}
