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
    private ReachabilityView.ControllerHealth standing;

    /** The moment that the view certainly describes, or a later one; -1: not known. */
    private long describesAt = -1;

    private int epoch;
    private long change;
    private final Map<String, Integer> numbers = new HashMap<>();
    private final Map<Integer, String> names = new HashMap<>();
    private final RoaringBitmap examined = new RoaringBitmap();
    private final RoaringBitmap inbound = new RoaringBitmap();
    private final RoaringBitmap outbound = new RoaringBitmap();

    /** Takes a view in that describes this moment or a later one (-1: not known); false: it is an old one. */
    boolean take(ReachabilityView view, long describesFrom) {
        ReachabilityView.Header header = view.header();
        if (header.incarnation() < incarnation
                || header.incarnation() == incarnation && header.sequence() <= sequence) {
            return false;
        }
        if (header.incarnation() > incarnation) {
            incarnation = header.incarnation();
            describesAt = -1;
            forgetWorkers(0);
        }
        sequence = header.sequence();
        term = header.term();
        leader = header.leader();
        leading = header.leading();
        standing = view.senderHealth();
        describesAt = Math.max(describesAt, describesFrom);
        takeWorkers(view.workers());
        return true;
    }

    private void forgetWorkers(int newEpoch) {
        epoch = newEpoch;
        change = 0;
        numbers.clear();
        names.clear();
        examined.clear();
        inbound.clear();
        outbound.clear();
    }

    private void takeWorkers(ReachabilityView.WorkerChanges workers) {
        if (workers.epoch() > epoch) {
            forgetWorkers(workers.epoch());
        }
        if (workers.epoch() < epoch || workers.baseVersion() > change || workers.version() <= change) {
            return;
        }
        change = workers.version();
        int at = 0;
        for (int number : workers.changed()) {
            String name = workers.names().get(at++);
            if (workers.removed().contains(number)) {
                names.remove(number);
                numbers.remove(name, number);
            } else {
                names.put(number, name);
                numbers.put(name, number);
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
    ReachabilityView.ControllerHealth standing() {
        return standing;
    }

    int epoch() {
        return epoch;
    }

    /** Up to which change of workers all is known here. */
    long change() {
        return change;
    }

    /** Whether it describes a moment no longer ago than a bound. */
    boolean fresh(long now, long boundMs) {
        return describesAt >= 0 && now - describesAt <= boundMs;
    }

    /** Milliseconds since the moment that it certainly describes; -1: not known. */
    long ageMs(long now) {
        return describesAt < 0 ? -1 : now - describesAt;
    }

    /** How many workers requests of the sender reach. */
    int reachedCount() {
        return RoaringBitmap.andCardinality(examined, outbound);
    }

    /** Whether it says anything about requests to a worker. */
    boolean knows(String worker) {
        Integer number = numbers.get(worker);
        return number != null && examined.contains(number);
    }

    /** Whether it names a worker at all. */
    boolean names(String worker) {
        return numbers.containsKey(worker);
    }

    /** Whether requests of the sender reach a worker. */
    boolean reaches(String worker) {
        Integer number = numbers.get(worker);
        return number != null && examined.contains(number) && outbound.contains(number);
    }
}
