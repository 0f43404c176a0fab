package stileferry.admission;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import stileferry.validation.InvalidInputException;

/**
 * The leader's decisions in one term: who is admitted now and who waits for how long. The only place where anything is
 * admitted. What it is asked about must be new: whoever asks again about an accepted job is none of its business.
 */
public final class AdmissionController {
    private final AdmissionConfig config;
    private final long term;
    private final DemandEstimator meter;
    private final AdaptiveRateLimit limit;
    private final Map<Flow, FlowRateLimiter> gates = new HashMap<>();
    private final Map<Integer, TokenBucket> spare = new HashMap<>();
    private final Map<Flow, Double> positions;

    /** Jobs whose turn came but that could not be admitted then; their turn goes on until they can. */
    private final Cache<String, Boolean> due;

    private SortedMap<Flow, Double> shares = new TreeMap<>();
    private AdmissionWindowTable table;

    /**
     * The decisions of a term that begins.
     *
     * @param last the last table that this controller had of the former leader, or null: turns go on from there
     * @param lastAgeS seconds since that table was made
     */
    public AdmissionController(AdmissionConfig config, long term, AdmissionWindowTable last, double lastAgeS) {
        InvalidInputException.require(config != null, "config", "missing");
        InvalidInputException.require(last == null || last.term() < term, "last", "not of a term before " + term);
        this.config = config;
        this.term = term;
        this.meter = new DemandEstimator(config);
        this.limit = new AdaptiveRateLimit(config.maxAdmissionsPerS());
        this.due = CacheBuilder.newBuilder()
                .maximumSize(1 + Math.round(config.maxAdmissionsPerS() * AdmissionConfig.CLIENT_RETRY_TIMEOUT_S))
                .concurrencyLevel(1)
                .build();
        this.positions = last == null ? Map.of() : last.positionsAfter(lastAgeS);
        this.table = new AdmissionWindowTable(term, 1, new TreeMap<>());
    }

    /**
     * Decides about a job that is not known yet.
     *
     * @param flow what {@link AdmissionConfig#flow} says of it
     */
    public AdmissionDecision decide(Flow flow, String id, long now) {
        FlowRateLimiter gate = gate(flow, now);
        double waitS = waitS(gate, id, now);
        if (gate.take(waitS == 0, now)
                || waitS == 0 && spare(flow.priorityTier(), now).take(now)) {
            meter.recordAdmission(flow, id, now);
            gate.count(true);
            due.invalidate(id);
            return AdmissionDecision.ADMITTED;
        }
        return refuse(flow, id, waitS, now);
    }

    /** Decides about a job that is not known yet at a moment at which nothing can be accepted. */
    public AdmissionDecision defer(Flow flow, String id, long now) {
        return refuse(flow, id, waitS(gate(flow, now), id, now), now);
    }

    private double waitS(FlowRateLimiter gate, String id, long now) {
        return due.getIfPresent(id) != null ? 0 : gate.waitS(JobIdHash.ringPosition(id), now);
    }

    private AdmissionDecision refuse(Flow flow, String id, double waitS, long now) {
        meter.recordRequest(flow, id, now);
        gate(flow, now).count(false);
        if (waitS > 0) {
            return AdmissionDecision.retryAfter(waitS);
        }
        due.put(id, Boolean.TRUE);
        return AdmissionDecision.retryAfter(
                1 + JobIdHash.ringPosition(id) * AdmissionConfig.WINDOW_S / 2); // not all at once
    }

    private FlowRateLimiter gate(Flow flow, long now) {
        return gates.computeIfAbsent(flow, f -> new FlowRateLimiter(positions.getOrDefault(f, 0.0), now));
    }

    /** What nobody of this tier or a more urgent one has asked for. */
    private TokenBucket spare(int tier, long now) {
        return spare.computeIfAbsent(
                tier,
                t -> new TokenBucket(
                        config.maxAdmissionsPerS(), config.maxAdmissionsPerS() * AdmissionConfig.WINDOW_S, now));
    }

    /** Takes in what another controller saw of the demand. */
    public void mergeDemand(DemandReport report, long now) {
        report.sketches().forEach((flow, sketch) -> {
            if (flow.equals(config.flow(flow.team(), flow.jobClass(), flow.priorityTier()))) {
                meter.merge(flow, sketch, now);
            }
        });
    }

    /**
     * Divides the capacity anew, once an interval.
     *
     * @param pressure what kept the leader from accepting more since the last time
     */
    public void updateShares(BackPressure pressure, long now) {
        SortedMap<Flow, DemandEstimate> waiting = meter.waitingJobs(now);
        double all = waiting.values().stream()
                .mapToDouble(DemandEstimate::waitingJobs)
                .sum();
        double measured = waiting.keySet().stream()
                .mapToDouble(flow -> meter.admittedPerS(flow, now))
                .sum();
        double capacity = limit.step(pressure, all, measured);
        SortedMap<Flow, Double> demands = new TreeMap<>();
        waiting.forEach((flow, estimate) ->
                demands.put(flow, estimate.waitingJobs() / AdmissionConfig.WINDOW_S + meter.admittedPerS(flow, now)));
        shares = FairShareAllocator.allocate(capacity, demands, config.weights());
        gates.keySet().retainAll(waiting.keySet());
        SortedMap<Flow, AdmissionWindow> turns = new TreeMap<>();
        shares.forEach((flow, share) -> {
            FlowRateLimiter gate = gate(flow, now);
            gate.set(share, waiting.get(flow).waitingJobs(), now);
            if (gate.closed()) {
                turns.put(flow, gate.turn());
            }
        });
        setSpare(capacity, now);
        table = new AdmissionWindowTable(term, table.sequence() + 1, turns);
    }

    private void setSpare(double capacity, long now) {
        SortedMap<Integer, Double> taken = new TreeMap<>();
        shares.forEach((flow, share) -> taken.merge(flow.priorityTier(), share, Double::sum));
        spare.keySet().forEach(tier -> taken.putIfAbsent(tier, 0.0));
        double left = capacity;
        for (Map.Entry<Integer, Double> tier : taken.entrySet()) {
            boolean first = tier.getKey() == 0; // the most urgent may have all that could ever be taken
            left = Math.max(0, (first ? config.maxAdmissionsPerS() : left) - tier.getValue());
            spare(tier.getKey(), now).set(left, left * AdmissionConfig.WINDOW_S, now);
            left = first ? Math.max(0, capacity - tier.getValue()) : left;
        }
    }

    /** The table as of the last {@link #updateShares}. */
    public AdmissionWindowTable table() {
        return table;
    }

    /** What each flow was given, admissions a second. */
    public SortedMap<Flow, Double> shares() {
        return shares;
    }

    /** Jobs that wait, by flow. */
    public SortedMap<Flow, DemandEstimate> waitingJobs(long now) {
        return meter.waitingJobs(now);
    }

    /** Admissions a second that are divided. */
    public double capacityPerS() {
        return limit.perS();
    }

    /** Requests of a flow that were admitted in this term, while it was kept. */
    public long admittedCount(Flow flow) {
        return gates.containsKey(flow) ? gates.get(flow).admitted() : 0;
    }

    /** Requests of a flow that were refused in this term, while it was kept. */
    public long refusedCount(Flow flow) {
        return gates.containsKey(flow) ? gates.get(flow).refused() : 0;
    }
}
