package stileferry.admission;

import java.util.Collection;

/**
 * The totals of the admissions that were counted up to a revision of the key-value store. The count is kept in shards,
 * so that concurrent transactions don't conflict; each shard is written in the transaction that makes the counted jobs
 * durable. All shards as of one revision add up to the totals at that revision.
 *
 * @param counts the admissions
 * @param revision the key-value store's revision that the totals refer to
 * @param completeUntilRevision the revision up to which nothing is missing, or {@link #COMPLETE} if nothing is missing
 *     at all
 */
public record AdmissionTotals(AdmissionCounts counts, long revision, long completeUntilRevision) {
    /** Means that nothing is missing at any revision: every leader has counted the jobs that it accepted. */
    public static final long COMPLETE = Long.MAX_VALUE;

    private static final long FIRST_TERM = 1;

    /**
     * One shard as it is stored.
     *
     * @param counts the admissions counted in it
     * @param countingSinceTerm the first of the unbroken run of terms with counting leaders in which it was last
     *     written
     * @param completeUntilRevision the revision up to which nothing is missing, as far as its writer knew
     * @param revision the revision of its last write
     */
    public record Shard(AdmissionCounts counts, long countingSinceTerm, long completeUntilRevision, long revision) {}

    /**
     * Adds up shards.
     *
     * @param shards all shards as of the revision
     * @param countingSinceTerm the first of the unbroken run of terms with counting leaders that lasts until now, or 0
     *     if the leader of the last term does not count
     */
    public static AdmissionTotals of(Collection<Shard> shards, long countingSinceTerm, long revision) {
        AdmissionCounts counts = new AdmissionCounts();
        shards.forEach(shard -> counts.addAll(shard.counts()));
        return new AdmissionTotals(counts, revision, completeUntilRevision(shards, countingSinceTerm));
    }

    /**
     * Returns the revision up to which nothing is missing, or {@link #COMPLETE}. Leaders of older versions, and those
     * with the feature off, accept jobs without counting them. If the shards were last written in an earlier run of
     * terms, such a leader may have accepted jobs at any time after that write.
     */
    public static long completeUntilRevision(Collection<Shard> shards, long countingSinceTerm) {
        long completeUntil = COMPLETE;
        long lastCountingSince = 0;
        long lastWrite = 0;
        for (Shard shard : shards) {
            completeUntil = Math.min(completeUntil, shard.completeUntilRevision());
            lastCountingSince = Math.max(lastCountingSince, shard.countingSinceTerm());
            lastWrite = Math.max(lastWrite, shard.revision());
        }
        if (completeUntil != COMPLETE) {
            return completeUntil;
        }
        return isUnbroken(countingSinceTerm, lastCountingSince) ? COMPLETE : lastWrite;
    }

    private static boolean isUnbroken(long countingSinceTerm, long lastCountingSince) {
        return countingSinceTerm == FIRST_TERM || countingSinceTerm > 0 && countingSinceTerm == lastCountingSince;
    }

    /** Returns whether nothing is missing. */
    public boolean isComplete() {
        return completeUntilRevision == COMPLETE;
    }
}
