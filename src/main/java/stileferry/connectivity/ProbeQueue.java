package stileferry.connectivity;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import stileferry.connectivity.ReachabilityView.ProbeTarget;

/** Probes that wait to be sent, at most one for each worker, in the order of their arrival. */
final class ProbeQueue {
    /** Further probes are dropped, as the next rounds contain them again. */
    private static final int MAX_PROBES = 64;

    private final Map<String, ProbeTarget> byWorker = new LinkedHashMap<>();

    /** Adds a probe, or replaces the one for the same worker. */
    void offer(ProbeTarget target) {
        if (byWorker.size() < MAX_PROBES || byWorker.containsKey(target.worker())) {
            byWorker.put(target.worker(), target);
        }
    }

    /** Removes and returns at most {@code max} probes. */
    List<ProbeTarget> poll(int max) {
        List<ProbeTarget> next = byWorker.values().stream().limit(max).toList();
        next.forEach(target -> byWorker.remove(target.worker()));
        return next;
    }

    void clear() {
        byWorker.clear();
    }
}
