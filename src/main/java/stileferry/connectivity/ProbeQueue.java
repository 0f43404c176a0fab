package stileferry.connectivity;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import stileferry.connectivity.ReachabilityView.ProbeTarget;

/** A bounded FIFO queue of probes to be sent, with at most one probe per worker. */
final class ProbeQueue {
    /** Probes beyond this number are dropped, as the next rounds contain them again. */
    private static final int MAX_PROBES = 64;

    private final Map<String, ProbeTarget> byWorker = new LinkedHashMap<>();

    /** Adds a probe, or replaces the queued probe of the same worker; drops the probe if the queue is full. */
    void offer(ProbeTarget target) {
        if (byWorker.size() < MAX_PROBES || byWorker.containsKey(target.worker())) {
            byWorker.put(target.worker(), target);
        }
    }

    /** Removes and returns at most {@code max} probes, oldest first. */
    List<ProbeTarget> poll(int max) {
        List<ProbeTarget> next = byWorker.values().stream().limit(max).toList();
        next.forEach(target -> byWorker.remove(target.worker()));
        return next;
    }

    void clear() {
        byWorker.clear();
    }
}
