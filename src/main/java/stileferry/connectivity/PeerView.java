package stileferry.connectivity;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.roaringbitmap.RoaringBitmap;
import stileferry.connectivity.ReachabilityView.ControllerHealth;
import stileferry.connectivity.ReachabilityView.Header;
import stileferry.connectivity.ReachabilityView.WorkerChanges;

/**
 * The merged views of another controller. Views may arrive late, repeatedly or out of order: an older view changes
 * nothing, and changes of workers are merged only after those that they follow.
 */
final class PeerView {
    private long incarnation;
    private long sequence;
    private long term;
    private String leader = "";
    private boolean leading;
    private ControllerHealth senderHealth;

    /** The view describes this moment or a later one; -1: not known. */
    private long validAt = -1;

    private int epoch;
    private long version;
    private final Map<String, Integer> idByWorker = new HashMap<>();
    private final RoaringBitmap outboundKnownIds = new RoaringBitmap();
    private final RoaringBitmap outboundIds = new RoaringBitmap();

    /** Merges a view that describes {@code validFrom} or a later moment (-1: not known); false: it is stale. */
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
                idByWorker.remove(name, id); // the name may belong to a newer worker by now
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

    /** Who leads, as far as the sender knows; empty: it does not know. */
    String leader() {
        return leader;
    }

    /** Whether the sender leads. */
    boolean leading() {
        return leading;
    }

    /** Null: no view was received. */
    ControllerHealth senderHealth() {
        return senderHealth;
    }

    int epoch() {
        return epoch;
    }

    /** The version of the sender's workers up to which all changes are merged. */
    long version() {
        return version;
    }

    /** Whether the view describes a moment at most {@code maxAgeMs} ago. */
    boolean fresh(long now, long maxAgeMs) {
        return validAt >= 0 && now - validAt <= maxAgeMs;
    }

    /** The greatest possible age in milliseconds; -1: not known. */
    long ageMs(long now) {
        return validAt < 0 ? -1 : now - validAt;
    }

    /** How many workers requests of the sender reach. */
    int reachedWorkers() {
        return RoaringBitmap.andCardinality(outboundKnownIds, outboundIds);
    }

    /** Whether the sender knows the worker. */
    boolean lists(String worker) {
        return idByWorker.containsKey(worker);
    }

    /** Whether the sender knows if its requests reach the worker. */
    boolean outboundKnown(String worker) {
        Integer id = idByWorker.get(worker);
        return id != null && outboundKnownIds.contains(id);
    }

    /** Whether requests of the sender reach the worker. */
    boolean reaches(String worker) {
        Integer id = idByWorker.get(worker);
        return id != null && outboundKnownIds.contains(id) && outboundIds.contains(id);
    }
}
