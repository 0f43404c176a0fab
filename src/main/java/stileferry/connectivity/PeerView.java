package stileferry.connectivity;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.roaringbitmap.RoaringBitmap;
import stileferry.connectivity.ReachabilityView.ControllerHealth;
import stileferry.connectivity.ReachabilityView.Header;
import stileferry.connectivity.ReachabilityView.WorkerChanges;

/**
 * The merged views of another controller. Views may be delayed, duplicated or reordered: a view that is not newer than
 * the last one is ignored, and worker changes are merged only if all changes that they build on have been merged.
 */
final class PeerView {
    private long incarnation;
    private long sequence;
    private long term;
    private String leader = "";
    private boolean leading;
    private ControllerHealth senderHealth;

    /** A lower bound of the time that the view describes, or -1 if it is unknown. */
    private long validAt = -1;

    private int epoch;
    private long version;
    private final Map<String, Integer> idByWorker = new HashMap<>();
    private final RoaringBitmap outboundKnownIds = new RoaringBitmap();
    private final RoaringBitmap outboundIds = new RoaringBitmap();

    /**
     * Merges a view.
     *
     * @param validFrom a lower bound of the time that the view describes, or -1 if it is unknown
     * @return false if the view is stale and was ignored
     */
    boolean merge(ReachabilityView view, long validFrom) {
        Header header = view.header();
        if (stale(header)) {
            return false;
        }
        if (header.incarnation() > incarnation) {
            incarnation = header.incarnation();
            validAt = -1;
            startEpoch(0);
        }
        sequence = header.sequence();
        term = header.term();
        leader = header.leader();
        leading = header.leading();
        senderHealth = view.senderHealth();
        validAt = Math.max(validAt, validFrom);
        mergeWorkers(view.workers());
        return true;
    }

    private boolean stale(Header header) {
        return header.incarnation() < incarnation
                || header.incarnation() == incarnation && header.sequence() <= sequence;
    }

    private void startEpoch(int newEpoch) {
        epoch = newEpoch;
        version = 0;
        idByWorker.clear();
        outboundKnownIds.clear();
        outboundIds.clear();
    }

    private void mergeWorkers(WorkerChanges changes) {
        if (changes.epoch() > epoch) {
            startEpoch(changes.epoch());
        }
        boolean follows = changes.epoch() == epoch && changes.baseVersion() <= version;
        if (!follows || changes.version() <= version) {
            return;
        }
        version = changes.version();
        mergeIds(changes);
        replace(outboundKnownIds, changes.changed(), changes.outboundKnown());
        replace(outboundIds, changes.changed(), changes.outbound());
    }

    private void mergeIds(WorkerChanges changes) {
        Iterator<String> names = changes.names().iterator();
        for (int id : changes.changed()) {
            String name = names.next();
            if (changes.removed().contains(id)) {
                idByWorker.remove(name, id); // the name may belong to a newer worker with another id
            } else {
                idByWorker.put(name, id);
            }
        }
    }

    private static void replace(RoaringBitmap all, RoaringBitmap changed, RoaringBitmap current) {
        all.andNot(changed);
        all.or(current);
    }

    long incarnation() {
        return incarnation;
    }

    long sequence() {
        return sequence;
    }

    long term() {
        return term;
    }

    /** Returns the leader as far as the sender knows, or an empty string if it does not. */
    String leader() {
        return leader;
    }

    /** Returns whether the sender leads. */
    boolean leading() {
        return leading;
    }

    /** Returns the sender's health, or null if no view has been received. */
    ControllerHealth senderHealth() {
        return senderHealth;
    }

    int epoch() {
        return epoch;
    }

    /** Returns the version of the sender's worker state up to which all changes are merged. */
    long version() {
        return version;
    }

    /** Returns whether the view describes a time at most {@code maxAgeMs} ago. */
    boolean fresh(long now, long maxAgeMs) {
        return validAt >= 0 && now - validAt <= maxAgeMs;
    }

    /** Returns the greatest possible age of the view in milliseconds, or -1 if not known. */
    long ageMs(long now) {
        return validAt < 0 ? -1 : now - validAt;
    }

    /** Returns how many workers the sender's requests reach, of those with a known recent outcome. */
    int reachedWorkers() {
        return RoaringBitmap.andCardinality(outboundKnownIds, outboundIds);
    }

    /** Returns whether the sender knows the worker. */
    boolean lists(String worker) {
        return idByWorker.containsKey(worker);
    }

    /** Returns whether the sender has a known recent outcome of a request to the worker. */
    boolean outboundKnown(String worker) {
        Integer id = idByWorker.get(worker);
        return id != null && outboundKnownIds.contains(id);
    }

    /** Returns whether the sender's requests reach the worker, according to a known recent outcome. */
    boolean reaches(String worker) {
        Integer id = idByWorker.get(worker);
        return id != null && outboundKnownIds.contains(id) && outboundIds.contains(id);
    }
}
