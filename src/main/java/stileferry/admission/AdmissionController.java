package stileferry.admission;

import com.google.common.cache.Cache;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import stileferry.validation.InvalidInputException;

/**
 * The leader's admission control in one term: decides which jobs are admitted now and how long the others have to wait.
 * No other component admits jobs. It must be asked about new jobs only, not about jobs that were accepted before. Times
 * are in milliseconds.
 */
public final class AdmissionController {
    private static final int MOST_URGENT_TIER = 0;

    private final AdmissionConfig config;
    private final long term;
    private final DemandEstimator demand;
    private final AdaptiveRateLimit rateLimit;
    private final Map<Flow, FlowRateLimiter> limiters = new HashMap<>();

    /** By priority tier: the capacity that is allocated to no flow of this tier or of a more urgent one. */
    private final Map<Integer, TokenBucket> spareCapacity = new HashMap<>();

    /** Ring positions at which admission windows start, continued from the previous leader's table. */
    private final Map<Flow, Double> initialPositions;

    /** Jobs that were not admitted although in the window; they stay admissible until they are admitted. */
    private final Cache<String, Boolean> deferredJobs;

    private SortedMap<Flow, Double> shares = new TreeMap<>();
    private AdmissionWindowTable table;

    /**
     * Starts admission control for one term.
     *
     * @param previousTable the last table of a former leader that this controller received, or null; admission
     *     windows continue from it
     * @param previousTableAgeS seconds since that table was computed
     */
    public AdmissionController(
            AdmissionConfig config, long term, AdmissionWindowTable previousTable, double previousTableAgeS) {
        InvalidInputException.require(config != null, "config", "missing");
        InvalidInputException.require(
                previousTable == null || previousTable.term() < term, "previousTable", "not of a term before " + term);
        this.config = config;
        this.term = term;
        this.demand = new DemandEstimator(config);
        this.rateLimit = new AdaptiveRateLimit(config.maxAdmissionsPerS());
        this.deferredJobs =
                JobIdCache.ofSize(1 + Math.round(config.maxAdmissionsPerS() * AdmissionConfig.CLIENT_RETRY_TIMEOUT_S));
        this.initialPositions = previousTable == null ? Map.of() : previousTable.positionsAfter(previousTableAgeS);
        this.table = new AdmissionWindowTable(term, 1, new TreeMap<>());
    }

    /**
     * Decides whether a new job is admitted now.
     *
     * @param flow the job's flow as given by {@link AdmissionConfig#flow}
     */
    public AdmissionDecision decide(Flow flow, String id, long now) {
        FlowRateLimiter limiter = limiter(flow, now);
        double waitS = waitS(limiter, id, now);
        boolean inWindow = waitS == 0;
        if (!limiter.tryTake(inWindow, now) && !(inWindow && tryTakeSpare(flow.priorityTier(), now))) {
            return reject(flow, id, waitS, now);
        }
        demand.recordAdmission(flow, id, now);
        limiter.countAdmitted();
        deferredJobs.invalidate(id);
        return AdmissionDecision.ADMITTED;
    }

    /** Rejects a new job while the leader can't accept it, and says when to retry. */
    public AdmissionDecision defer(Flow flow, String id, long now) {
        return reject(flow, id, waitS(limiter(flow, now), id, now), now);
    }

    private double waitS(FlowRateLimiter limiter, String id, long now) {
        return deferredJobs.getIfPresent(id) != null ? 0 : limiter.waitS(JobIdHash.ringPosition(id), now);
    }

    private AdmissionDecision reject(Flow flow, String id, double waitS, long now) {
        demand.recordRequest(flow, id, now);
        limiter(flow, now).countRejected();
        if (waitS > 0) {
            return AdmissionDecision.retryAfter(waitS);
        }
        deferredJobs.put(id, Boolean.TRUE);
        double spreadS =
                JobIdHash.ringPosition(id) * AdmissionConfig.WINDOW_S / 2; // so that they don't all retry at once
        return AdmissionDecision.retryAfter(1 + spreadS);
    }

    private FlowRateLimiter limiter(Flow flow, long now) {
        return limiters.computeIfAbsent(
                flow, absent -> new FlowRateLimiter(initialPositions.getOrDefault(absent, 0.0), now));
    }

    private boolean tryTakeSpare(int priorityTier, long now) {
        return spareBucket(priorityTier, now).tryTake(now);
    }

    private TokenBucket spareBucket(int priorityTier, long now) {
        double maxPerS = config.maxAdmissionsPerS();
        return spareCapacity.computeIfAbsent(
                priorityTier, absent -> new TokenBucket(maxPerS, maxPerS * AdmissionConfig.WINDOW_S, now));
    }

    /** Merges the demand that another controller rejected; flows that the configuration does not know are ignored. */
    public void mergeDemand(DemandReport report, long now) {
        report.sketches().forEach((flow, sketch) -> {
            if (flow.equals(config.flow(flow.team(), flow.jobClass(), flow.priorityTier()))) {
                demand.merge(flow, sketch, now);
            }
        });
    }

    /**
     * Recomputes capacity, fair shares and admission windows; called once per interval.
     *
     * @param backPressure what limited the leader's admissions since the last call
     */
    public void updateShares(BackPressure backPressure, long now) {
        SortedMap<Flow, DemandEstimate> waiting = demand.waitingJobs(now);
        double capacityPerS = adjustCapacity(backPressure, waiting, now);
        shares = FairShareAllocator.allocate(capacityPerS, demandsPerS(waiting, now), config.weights());
        limiters.keySet().retainAll(waiting.keySet());
        SortedMap<Flow, AdmissionWindow> windows = updateLimiters(waiting, now);
        updateSpareCapacity(capacityPerS, now);
        table = new AdmissionWindowTable(term, table.sequence() + 1, windows);
    }

    private double adjustCapacity(BackPressure backPressure, SortedMap<Flow, DemandEstimate> waiting, long now) {
        double waitingJobs = waiting.values().stream()
                .mapToDouble(DemandEstimate::waitingJobs)
                .sum();
        double admittedPerS = waiting.keySet().stream()
                .mapToDouble(flow -> demand.admittedPerS(flow, now))
                .sum();
        return rateLimit.adjust(backPressure, waitingJobs, admittedPerS);
    }

    /** Returns each flow's demand: its recent rate plus the rate that admits all its waiting jobs within one window. */
    private SortedMap<Flow, Double> demandsPerS(SortedMap<Flow, DemandEstimate> waiting, long now) {
        SortedMap<Flow, Double> demands = new TreeMap<>();
        waiting.forEach((flow, estimate) ->
                demands.put(flow, estimate.waitingJobs() / AdmissionConfig.WINDOW_S + demand.admittedPerS(flow, now)));
        return demands;
    }

    private SortedMap<Flow, AdmissionWindow> updateLimiters(SortedMap<Flow, DemandEstimate> waiting, long now) {
        SortedMap<Flow, AdmissionWindow> windows = new TreeMap<>();
        shares.forEach((flow, share) -> {
            FlowRateLimiter limiter = limiter(flow, now);
            limiter.updateShare(share, waiting.get(flow).waitingJobs(), now);
            if (limiter.isLimiting()) {
                windows.put(flow, limiter.window());
            }
        });
        return windows;
    }

    private void updateSpareCapacity(double capacityPerS, long now) {
        double remainingPerS = capacityPerS;
        for (Map.Entry<Integer, Double> tier : sharesByTier().entrySet()) {
            boolean mostUrgent = tier.getKey() == MOST_URGENT_TIER;
            double allowedPerS = mostUrgent ? config.maxAdmissionsPerS() : remainingPerS;
            double sparePerS = Math.max(0, allowedPerS - tier.getValue());
            spareBucket(tier.getKey(), now).reconfigure(sparePerS, sparePerS * AdmissionConfig.WINDOW_S, now);
            remainingPerS = mostUrgent ? Math.max(0, capacityPerS - tier.getValue()) : sparePerS;
        }
    }

    private SortedMap<Integer, Double> sharesByTier() {
        SortedMap<Integer, Double> byTier = new TreeMap<>();
        shares.forEach((flow, share) -> byTier.merge(flow.priorityTier(), share, Double::sum));
        spareCapacity.keySet().forEach(tier -> byTier.putIfAbsent(tier, 0.0));
        return byTier;
    }

    /** Returns the table of admission windows as of the last {@link #updateShares}. */
    public AdmissionWindowTable table() {
        return table;
    }

    /** Returns the fair share of each flow, in admissions per second. */
    public SortedMap<Flow, Double> shares() {
        return shares;
    }

    /** Returns the estimated number of waiting jobs by flow. */
    public SortedMap<Flow, DemandEstimate> waitingJobs(long now) {
        return demand.waitingJobs(now);
    }

    /** Returns the total rate that the fair shares divide, in admissions per second. */
    public double capacityPerS() {
        return rateLimit.ratePerS();
    }

    /**
     * Returns how many requests of a flow were admitted in this term; reset when the flow had no demand for a while.
     */
    public long admittedCount(Flow flow) {
        return limiters.containsKey(flow) ? limiters.get(flow).admittedCount() : 0;
    }

    /**
     * Returns how many requests of a flow were rejected in this term; reset when the flow had no demand for a while.
     */
    public long rejectedCount(Flow flow) {
        return limiters.containsKey(flow) ? limiters.get(flow).rejectedCount() : 0;
    }
}
