package stileferry.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.apache.datasketches.theta.CompactSketch;
import org.apache.datasketches.theta.Sketch;

/**
 * Estimates the demand of each flow by counting distinct job ids over the clients' retry timeout. Requests can't be
 * counted instead, as clients repeat them at any controller. The number of flows is bounded by the settings' teams and
 * job classes ({@link AdmissionConfig#flow}). Times are in milliseconds.
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

    private FlowDemandSketch sketchOf(Flow flow) {
        return flows.computeIfAbsent(flow, absent -> new FlowDemandSketch());
    }

    /** Records that a job was submitted and not admitted. */
    void recordRequest(Flow flow, String id, long now) {
        sketchOf(flow).recordRequest(id, slice(now));
    }

    /** Records that a job was submitted and admitted. */
    void recordAdmission(Flow flow, String id, long now) {
        sketchOf(flow).recordAdmission(id, slice(now));
    }

    /** Merges the sketch that another controller reported. */
    void merge(Flow flow, Sketch sketch, long now) {
        sketchOf(flow).merge(sketch, slice(now));
    }

    /**
     * Returns this controller's own sketches of the current time slice, without those merged from other controllers.
     */
    SortedMap<Flow, CompactSketch> currentSketches(long now) {
        SortedMap<Flow, CompactSketch> sketches = new TreeMap<>();
        flows.forEach((flow, demand) -> {
            CompactSketch sketch = demand.ownSketch(slice(now));
            if (sketch != null) {
                sketches.put(flow, sketch);
            }
        });
        return sketches;
    }

    /** Returns the estimated number of waiting jobs by flow; drops flows without recent requests. */
    SortedMap<Flow, DemandEstimate> waitingJobs(long now) {
        flows.values().removeIf(demand -> demand.isIdle(slice(now)));
        SortedMap<Flow, DemandEstimate> waitingJobs = new TreeMap<>();
        flows.forEach((flow, demand) -> waitingJobs.put(flow, demand.waitingJobs(slice(now))));
        return waitingJobs;
    }

    /** Returns a flow's admissions per second over the clients' retry timeout. */
    double admittedPerS(Flow flow, long now) {
        FlowDemandSketch demand = flows.get(flow);
        return demand == null ? 0 : demand.admissions(slice(now)) / AdmissionConfig.CLIENT_RETRY_TIMEOUT_S;
    }
}
