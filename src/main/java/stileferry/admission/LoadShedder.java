package stileferry.admission;

import com.google.common.cache.Cache;
import stileferry.validation.InvalidInputException;

/**
 * Load shedding at one controller: rejects jobs outside their flow's admission window according to the leader's last
 * table, without asking the leader. Without a valid table it rejects no job. It never admits a job: the leader decides
 * about the jobs that it lets through. Times are in milliseconds.
 */
public final class LoadShedder {
    private static final double MS_PER_S = 1000;

    /** Longest retry time after a failure: shorter than other retry times, so that clients soon notice the recovery. */
    private static final double MAX_FAILURE_RETRY_S = AdmissionConfig.MAX_RETRY_AFTER_S / 3.0;

    private static final long NOT_FAILING = -1;

    private final AdmissionConfig config;
    private final DemandEstimator demand;

    /** Accepted jobs; repeated requests about them are let through. */
    private final Cache<String, Boolean> acceptedJobs;

    /** Jobs that the leader deferred although in the window; they are let through until they are accepted. */
    private final Cache<String, Boolean> deferredJobs;

    private AdmissionWindowTable table;
    private long highestTerm;
    private long tableReceivedAt;
    private long tableValidUntil;
    private long rejectedCount;
    private long failingSince = NOT_FAILING;

    /**
     * Creates a load shedder without a table.
     *
     * @param maxRememberedJobs how many accepted jobs to remember, and as many deferred ones
     */
    public LoadShedder(AdmissionConfig config, int maxRememberedJobs) {
        InvalidInputException.require(config != null, "config", "missing");
        InvalidInputException.require(
                maxRememberedJobs > 0, "maxRememberedJobs", "must be above 0: " + maxRememberedJobs);
        this.config = config;
        this.demand = new DemandEstimator(config);
        this.acceptedJobs = JobIdCache.ofSize(maxRememberedJobs);
        this.deferredJobs = JobIdCache.ofSize(maxRememberedJobs);
    }

    /** Records the term of a leader; tables of earlier terms are no longer valid. */
    public void observeTerm(long term) {
        highestTerm = Math.max(highestTerm, term);
    }

    /**
     * Replaces the table if the new one is more recent.
     *
     * @param requestedAt when the table was requested; its validity is counted from then
     */
    public void updateTable(AdmissionWindowTable newTable, long requestedAt, long now) {
        InvalidInputException.require(requestedAt <= now, "requestedAt", "must not be after now");
        if (newTable.term() < highestTerm || table != null && !newTable.isAfter(table)) {
            return;
        }
        highestTerm = newTable.term();
        table = newTable;
        tableReceivedAt = now;
        tableValidUntil = requestedAt + config.tableValidityMs();
    }

    /** Returns whether there is a table that may be used now. */
    public boolean hasValidTable(long now) {
        return table != null && table.term() == highestTerm && now < tableValidUntil;
    }

    /** Returns the last table, valid or not, or null if there never was one. */
    public AdmissionWindowTable lastTable() {
        return table;
    }

    /** Returns the seconds since the last table was received. */
    public double tableAgeS(long now) {
        return (now - tableReceivedAt) / MS_PER_S;
    }

    /** Records that the leader deferred a job that was let through: it is let through until it is accepted. */
    public void recordDeferred(String id) {
        deferredJobs.put(id, Boolean.TRUE);
    }

    /**
     * Records that this controller informed a client of its job's acceptance. Requests about the job are let through
     * from now on.
     */
    public void recordAccepted(String id) {
        acceptedJobs.put(id, Boolean.TRUE);
        deferredJobs.invalidate(id);
        failingSince = NOT_FAILING;
    }

    /**
     * Returns the seconds after which to retry a request that could not be decided, because there was no leader or it
     * took too long. They grow with the duration of the failure and differ between jobs, so that clients do not retry
     * all at once.
     */
    public int retryAfterFailureS(String id, long now) {
        if (failingSince < 0) {
            failingSince = now;
        }
        double failingS = (now - failingSince) / MS_PER_S;
        double maxWaitS = Math.min(MAX_FAILURE_RETRY_S, 1 + failingS);
        return AdmissionDecision.retryAfter(JobIdHash.ringPosition(id) * maxWaitS)
                .retryAfterS();
    }

    /** Returns the seconds after which to retry a request, or 0 if it is let through. */
    public int retryAfterS(Flow flow, String id, long now) {
        if (!mayReject(id, now)) {
            return 0;
        }
        double waitS = table.waitS(flow, id, tableAgeS(now));
        if (waitS == 0) {
            return 0;
        }
        demand.recordRequest(flow, id, now);
        rejectedCount++;
        return AdmissionDecision.retryAfter(waitS).retryAfterS();
    }

    private boolean mayReject(String id, long now) {
        return acceptedJobs.getIfPresent(id) == null && hasValidTable(now) && deferredJobs.getIfPresent(id) == null;
    }

    /** Returns the demand rejected here recently, for the leader, which knows the demand that was let through. */
    public DemandReport demandReport(long now) {
        return new DemandReport(demand.currentSketches(now));
    }

    /** Returns how many requests were rejected here since the start. */
    public long rejectedCount() {
        return rejectedCount;
    }
}
