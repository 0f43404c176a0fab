package stileferry.admission;

import java.util.Collection;

/**
 * All admissions as they were counted up to a revision of the state service. The count is kept in shards, so that
 * transactions in flight at the same time don't wait for each other; each shard is written in the transaction that
 * makes durable what it counts. Whoever reads all shards as they stood at one revision has the totals of that revision.
 *
 * @param counts the admissions
 * @param revision the state service's revision at which they hold
 * @param completeUntilRevision the revision up to which nothing is missing; {@link #COMPLETE} if nothing is missing
 *     at all
 */
public record AdmissionTotals(AdmissionCounts counts, long revision, long completeUntilRevision) {
    /** Every leader has counted what it accepted. */
    public static final long COMPLETE = Long.MAX_VALUE;

    /**
     * One shard as it is stored.
     *
     * @param counts what was counted in it
     * @param countingSinceTerm the unbroken run of terms in which it was last written, by the first of these terms
     * @param completeUntilRevision as its writer knew it
     * @param revision of its last write
     */
    public record Shard(AdmissionCounts counts, long countingSinceTerm, long completeUntilRevision, long revision) {}

    /**
     * Adds shards up.
     *
     * @param shards all shards as they stood at the revision
     * @param run the first term of the unbroken run of counting leaders that lasts until now; 0: a leader that does not
     *     count has begun a term since
     */
    public static AdmissionTotals of(Collection<Shard> shards, long run, long revision) {
        AdmissionCounts counts = new AdmissionCounts();
        shards.forEach(shard -> counts.addAll(shard.counts()));
        return new AdmissionTotals(counts, revision, completeUntilRevision(shards, run));
    }

    /**
     * The revision up to which nothing is missing. Leaders of older versions, and those with the feature off, accept
     * jobs and count nothing. A run of terms without such a leader is named by its first term; a shard of a former
     * run says that somebody may have led in between who did not count, at any time after that run's last write.
     */
    public static long completeUntilRevision(Collection<Shard> shards, long run) {
        long known = COMPLETE;
        long lastRun = 0;
        long lastWrite = 0;
        for (Shard shard : shards) {
            known = Math.min(known, shard.completeUntilRevision());
            lastRun = Math.max(lastRun, shard.countingSinceTerm());
            lastWrite = Math.max(lastWrite, shard.revision());
        }
        if (known != COMPLETE) {
            return known;
        }
        boolean unbroken = run == 1 || run > 0 && run == lastRun;
        return unbroken ? COMPLETE : lastWrite;
    }

    /** Whether nothing is missing. */
    public boolean isComplete() {
        return completeUntilRevision == COMPLETE;
    }
}
