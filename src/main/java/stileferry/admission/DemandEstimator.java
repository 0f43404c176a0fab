package stileferry.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.apache.datasketches.theta.CompactSketch;
import org.apache.datasketches.theta.Sketch;

/**
 * Who asks: distinct jobs by flow over the users' patience. Users repeat their requests at every controller, so
 * requests say nothing; ids do. The number of flows is bounded by the settings'
 * teams and classes ({@link AdmissionConfig#flow}).
 */
final class DemandEstimator {
    private final AdmissionConfig config;
    private final Map<Flow, FlowDemandSketch> flows = new HashMap<>();

    DemandEstimator(AdmissionConfig config) {
        this.config = config;
    }

    private long slice(long now) {
        return Math.floorDiv(now, config.demandSliceMs());
    }

    private FlowDemandSketch of(Flow flow) {
        return flows.computeIfAbsent(flow, any -> new FlowDemandSketch());
    }

    void recordRequest(Flow flow, String id, long now) {
        of(flow).asked(id, slice(now));
    }

    void recordAdmission(Flow flow, String id, long now) {
        of(flow).admitted(id, slice(now));
    }

    /** Takes in what another controller saw. */
    void merge(Flow flow, Sketch sketch, long now) {
        of(flow).merge(sketch, slice(now));
    }

    /** What this controller saw in the slice under way. */
    SortedMap<Flow, CompactSketch> currentSketches(long now) {
        SortedMap<Flow, CompactSketch> seen = new TreeMap<>();
        flows.forEach((flow, demand) -> {
            CompactSketch sketch = demand.seen(slice(now));
            if (sketch != null) {
                seen.put(flow, sketch);
            }
        });
        return seen;
    }

    /** Jobs that wait, by flow; flows of which nothing is heard any more are forgotten. */
    SortedMap<Flow, DemandEstimate> waitingJobs(long now) {
        flows.values().removeIf(demand -> demand.idle(slice(now)));
        SortedMap<Flow, DemandEstimate> waiting = new TreeMap<>();
        flows.forEach((flow, demand) -> waiting.put(flow, demand.waiting(slice(now))));
        return waiting;
    }

    /** Admissions a second that a flow was given lately. */
    double admittedPerS(Flow flow, long now) {
        FlowDemandSketch demand = flows.get(flow);
        return demand == null ? 0 : demand.admissions(slice(now)) / AdmissionConfig.CLIENT_RETRY_TIMEOUT_S;
    }
}
