package stileferry.connectivity;

import java.util.HashMap;
import java.util.Map;
import org.roaringbitmap.RoaringBitmap;

/**
 * What another controller has said of its links. Views may come late, again, or in another order than they were sent:
 * an older view changes nothing, and changes are only taken in after those that they follow.
 */
final class PeerView {
    private long incarnation;
    private long sequence;
    private long term;
    private String leader = "";
    private boolean leading;
    private ReachabilityView.ControllerHealth senderHealth;

    /** The moment that the view certainly describes, or a later one; -1: not known. */
    private long validAt = -1;

    private int epoch;
    private long version;
    private final Map<String, Integer> idByWorker = new HashMap<>();
    private final Map<Integer, String> names = new HashMap<>();
    private final RoaringBitmap examined = new RoaringBitmap();
    private final RoaringBitmap inbound = new RoaringBitmap();
    private final RoaringBitmap outbound = new RoaringBitmap();

    /** Takes a view in that describes this moment or a later one (-1: not known); false: it is an old one. */
    boolean merge(ReachabilityView view, long describesFrom) {
        ReachabilityView.Header header = view.header();
        if (header.incarnation() < incarnation
                || header.incarnation() == incarnation && header.sequence() <= sequence) {
            return false;
        }
        if (header.incarnation() > incarnation) {
            incarnation = header.incarnation();
            validAt = -1;
            resetWorkers(0);
        }
        sequence = header.sequence();
        term = header.term();
        leader = header.leader();
        leading = header.leading();
        senderHealth = view.senderHealth();
        validAt = Math.max(validAt, describesFrom);
        mergeWorkers(view.workers());
        return true;
    }

    private void resetWorkers(int newEpoch) {
        epoch = newEpoch;
        version = 0;
        idByWorker.clear();
        names.clear();
        examined.clear();
        inbound.clear();
        outbound.clear();
    }

    private void mergeWorkers(ReachabilityView.WorkerChanges workers) {
        if (workers.epoch() > epoch) {
            resetWorkers(workers.epoch());
        }
        if (workers.epoch() < epoch || workers.baseVersion() > version || workers.version() <= version) {
            return;
        }
        version = workers.version();
        int at = 0;
        for (int number : workers.changed()) {
            String name = workers.names().get(at++);
            if (workers.removed().contains(number)) {
                names.remove(number);
                idByWorker.remove(name, number);
            } else {
                names.put(number, name);
                idByWorker.put(name, number);
            }
        }
        replace(examined, workers.changed(), workers.outboundKnown());
        replace(inbound, workers.changed(), workers.inbound());
        replace(outbound, workers.changed(), workers.outbound());
    }

    private static void replace(RoaringBitmap all, RoaringBitmap changed, RoaringBitmap now) {
        all.andNot(changed);
        all.or(now);
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

    /** Who leads as far as its sender knows; empty: it does not know. */
    String leader() {
        return leader;
    }

    boolean leading() {
        return leading;
    }

    /** Null: nothing was heard. */
    ReachabilityView.ControllerHealth senderHealth() {
        return senderHealth;
    }

    int epoch() {
        return epoch;
    }

    /** Up to which change of workers all is known here. */
    long version() {
        return version;
    }

    /** Whether it describes a moment no longer ago than a bound. */
    boolean fresh(long now, long boundMs) {
        return validAt >= 0 && now - validAt <= boundMs;
    }

    /** Milliseconds since the moment that it certainly describes; -1: not known. */
    long ageMs(long now) {
        return validAt < 0 ? -1 : now - validAt;
    }

    /** How many workers requests of the sender reach. */
    int reachedWorkers() {
        return RoaringBitmap.andCardinality(examined, outbound);
    }

    /** Whether it says anything about requests to a worker. */
    boolean outboundKnown(String worker) {
        Integer number = idByWorker.get(worker);
        return number != null && examined.contains(number);
    }

    /** Whether it names a worker at all. */
    boolean names(String worker) {
        return idByWorker.containsKey(worker);
    }

    /** Whether requests of the sender reach a worker. */
    boolean reaches(String worker) {
        Integer number = idByWorker.get(worker);
        return number != null && examined.contains(number) && outbound.contains(number);
    }
}
