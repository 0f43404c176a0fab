package stileferry.connectivity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.roaringbitmap.RoaringBitmap;

/**
 * The links to all workers that this controller has seen. A report costs the same whatever the number of workers; a
 * sweep looks only at those that have fallen silent since the last one.
 */
final class WorkerLinks {
    /** Departed workers that are remembered beyond as many as there are, before numbers are given anew. */
    private static final int MAX_SPARE_IDS = 64;

    private final ConnectivityConfig config;
    private final PhiAccrualEstimator intervals;
    private final Map<String, WorkerLink> byName = new HashMap<>();

    /** Workers that report straight to this controller, the one that has been silent for longest first. */
    private final Set<WorkerLink> direct = new LinkedHashSet<>();

    /** All workers, that of which nothing has been seen for longest first. */
    private final Set<WorkerLink> byLastSeen = new LinkedHashSet<>();

    /** Workers to which a request was sent, the one whose last outcome is oldest first. */
    private final Set<WorkerLink> byOutboundObserved = new LinkedHashSet<>();

    /** Workers with a link that does not work, the one that was asked after least lately first. */
    private final Set<WorkerLink> suspects = new LinkedHashSet<>();

    /** The numbers of workers with links that work. */
    private RoaringBitmap healthy = new RoaringBitmap();

    /** All workers, also departed ones, by the number of their last change. */
    private final TreeMap<Long, WorkerLink> byVersion = new TreeMap<>();

    private final List<WorkerLink> byId = new ArrayList<>();
    private int epoch = 1;
    private long lastVersion;
    private long suspicions;
    private boolean retainSilent;
    private double timeoutMs;
    private long timeoutComputedAt = -1;

    WorkerLinks(ConnectivityConfig config) {
        this.config = config;
        this.intervals = new PhiAccrualEstimator(config.heartbeatIntervalMs());
    }

    /** Forgets all workers, as their state is to be learnt anew. */
    void clear() {
        byName.clear();
        direct.clear();
        byLastSeen.clear();
        byOutboundObserved.clear();
        suspects.clear();
        renumber();
    }

    // ---- what is seen

    /** A worker that should be there, though nothing was heard of it. */
    void expected(String name, String address, long now) {
        WorkerLink known = byName.get(name);
        if (known == null) {
            add(name, address, now);
        } else if (known.address.isEmpty()) {
            known.address = address;
        }
    }

    /** A report that came straight from its worker; false when it is a copy or came late. */
    boolean heartbeatReceived(WorkerHeartbeat report, long now) {
        WorkerLink link = link(report, now);
        if (!link.acceptIfNewer(report)) {
            return false;
        }
        if (link.directHeartbeatAt >= 0 && link.relayedSince < 0) {
            intervals.addInterval(now - link.directHeartbeatAt);
        }
        boolean answered = link.heartbeatAnsweredAt >= link.directHeartbeatAt && link.heartbeatAnsweredAt >= 0;
        boolean outbound = link.outbound || !link.outboundKnown;
        if (answered && report.acceptedTerm()) {
            link.requestAnswered();
            outbound = true;
        } else if (answered && link.requestFailed()) {
            outbound = false;
        }
        link.directHeartbeatAt = now;
        link.relayedSince = -1;
        markSeen(link, now);
        moveToEnd(direct, link);
        update(link, link.outboundKnown, true, outbound, now);
        return true;
    }

    /** A report that came by way of another controller. */
    void relayedHeartbeatReceived(WorkerHeartbeat report, long now) {
        WorkerLink link = link(report, now);
        if (!link.acceptIfNewer(report)) {
            return;
        }
        boolean outbound = link.outbound && !link.leftDespiteAnswers();
        if (link.relayedSince < 0) {
            link.relayedSince = now;
        }
        markSeen(link, now);
        direct.remove(link);
        update(link, link.outboundKnown, false, outbound, now);
    }

    /** The worker's last report was answered. */
    void heartbeatAnswered(String name, long now) {
        WorkerLink link = byName.get(name);
        if (link != null) {
            link.heartbeatAnsweredAt = now;
        }
    }

    /** A request to the worker was answered. */
    void requestAnswered(String name, boolean probe, long now) {
        WorkerLink link = byName.get(name);
        if (link == null) {
            return;
        }
        link.requestAnswered();
        link.probeAnsweredAt = probe ? now : link.probeAnsweredAt;
        markSeen(link, now);
        markOutboundObserved(link, now);
        update(link, true, link.inbound, true, now);
    }

    /** A request to the worker was not answered. */
    void requestFailed(String name, boolean probe, long now) {
        WorkerLink link = byName.get(name);
        if (link == null) {
            return;
        }
        link.probeFailedAt = probe ? now : link.probeFailedAt;
        boolean lost = link.requestFailed() || probe;
        if (probe) {
            markSeen(link, now);
        }
        markOutboundObserved(link, now);
        update(link, true, link.inbound, link.outbound && !lost, now);
    }

    /** The worker is gone for good. */
    void removed(String name) {
        WorkerLink link = byName.remove(name);
        if (link == null) {
            return;
        }
        direct.remove(link);
        byLastSeen.remove(link);
        byOutboundObserved.remove(link);
        suspects.remove(link);
        healthy.remove(link.id);
        link.removed = true;
        markChanged(link);
        if (byId.size() > 2 * byName.size() + MAX_SPARE_IDS) {
            renumber();
        }
    }

    /** Whether workers of which nothing is seen are kept, as a leader keeps all until they are gone. */
    void retainSilent(boolean all) {
        retainSilent = all;
        if (!retainSilent) {
            byLastSeen.clear();
            byName.values().stream()
                    .sorted(Comparator.comparingLong(link -> link.lastSeenAt))
                    .forEach(byLastSeen::add);
        }
    }

    /** Notes who has fallen silent; who is not kept and of whom nothing is seen any more is forgotten. */
    void detectSilent(long now, long lateMs) {
        double silent = suspicionTimeoutMs(now) + lateMs;
        for (Iterator<WorkerLink> oldest = direct.iterator(); oldest.hasNext(); ) {
            WorkerLink link = oldest.next();
            if (now - link.directHeartbeatAt <= silent) {
                break;
            }
            oldest.remove();
            suspicions++;
            update(link, link.outboundKnown, false, link.outbound, now);
        }
        if (!retainSilent) {
            expireOutboundResults(now - config.probeResultMaxAgeMs() - lateMs, now);
            forgetUnseen(now - config.workerEvidenceMaxAgeMs() - lateMs);
        }
    }

    private void expireOutboundResults(long before, long now) {
        for (Iterator<WorkerLink> oldest = byOutboundObserved.iterator(); oldest.hasNext(); ) {
            WorkerLink link = oldest.next();
            if (link.outboundObservedAt >= before) {
                break;
            }
            oldest.remove();
            update(link, false, link.inbound, link.outbound, now);
        }
    }

    private void forgetUnseen(long before) {
        List<String> names = new ArrayList<>();
        for (WorkerLink link : byLastSeen) {
            if (link.lastSeenAt >= before) {
                break;
            }
            names.add(link.name);
        }
        names.forEach(this::removed);
    }

    /** The silence after which a worker is suspect, from the measured intervals of all; computed now and then. */
    double suspicionTimeoutMs(long now) {
        if (timeoutComputedAt < 0 || now - timeoutComputedAt > config.exchangeIntervalMs(true)) {
            timeoutComputedAt = now;
            timeoutMs = Math.min(
                    config.workerLeaseMs() / 2.0, intervals.timeoutMs(LinkFailureDetector.SUSPICION_THRESHOLD));
        }
        return timeoutMs;
    }

    private WorkerLink link(WorkerHeartbeat report, long now) {
        WorkerLink link = byName.get(report.worker());
        if (link == null) {
            link = add(report.worker(), report.address(), now);
        }
        link.address = report.address();
        return link;
    }

    private WorkerLink add(String name, String address, long now) {
        WorkerLink link = new WorkerLink(name, address);
        link.id = byId.size();
        link.lastSeenAt = now;
        byId.add(link);
        byName.put(name, link);
        byLastSeen.add(link);
        markChanged(link);
        updateSuspicion(link, now);
        return link;
    }

    private void markSeen(WorkerLink link, long now) {
        link.lastSeenAt = now;
        if (!retainSilent) {
            moveToEnd(byLastSeen, link);
        }
    }

    private void markOutboundObserved(WorkerLink link, long now) {
        link.outboundObservedAt = now;
        moveToEnd(byOutboundObserved, link);
    }

    private static void moveToEnd(Set<WorkerLink> set, WorkerLink link) {
        set.remove(link);
        set.add(link);
    }

    private void update(WorkerLink link, boolean examined, boolean inbound, boolean outbound, long now) {
        if (link.outboundKnown != examined || link.inbound != inbound || link.outbound != outbound) {
            link.outboundKnown = examined;
            link.inbound = inbound;
            link.outbound = outbound;
            markChanged(link);
        }
        updateSuspicion(link, now);
    }

    private void updateSuspicion(WorkerLink link, long now) {
        boolean works = link.inbound && (link.outbound || !link.outboundKnown);
        if (works && link.healthy) {
            return;
        }
        link.healthy = works;
        if (works) {
            suspects.remove(link);
            healthy.add(link.id);
            link.suspectSince = -1;
            link.keptSince = -1;
        } else if (link.suspectSince < 0) {
            suspects.add(link);
            healthy.remove(link.id);
            link.suspectSince = now;
        }
    }

    // ---- what others are told

    private void markChanged(WorkerLink link) {
        byVersion.remove(link.version);
        link.version = ++lastVersion;
        byVersion.put(link.version, link);
    }

    /** Departed workers' numbers are given up, and every number is given anew. */
    private void renumber() {
        epoch++;
        byId.clear();
        byVersion.clear();
        healthy = new RoaringBitmap();
        for (WorkerLink link : byName.values()) {
            link.id = byId.size();
            byId.add(link);
            if (link.suspectSince < 0) {
                healthy.add(link.id);
            }
            link.version = ++lastVersion;
            byVersion.put(link.version, link);
        }
    }

    /** The number of the time for which workers keep their numbers. */
    int epoch() {
        return epoch;
    }

    /** Workers that changed after a change, in the order of their last changes, at most so many. */
    List<WorkerLink> changedAfter(long change, int most) {
        List<WorkerLink> list = new ArrayList<>();
        for (WorkerLink link : byVersion.tailMap(change, false).values()) {
            if (list.size() >= most) {
                break;
            }
            list.add(link);
        }
        return list;
    }

    // ---- what is asked

    int count() {
        return byName.size();
    }

    int suspectCount() {
        return suspects.size();
    }

    /** Workers from which reports come straight. */
    int directCount() {
        return direct.size();
    }

    /** How often a worker has fallen silent for longer than is usual. */
    long suspicions() {
        return suspicions;
    }

    /** Null: nothing is known of it. */
    WorkerLink find(String name) {
        return byName.get(name);
    }

    /** The next suspects in turn. */
    List<WorkerLink> nextSuspects(int most) {
        List<WorkerLink> next = new ArrayList<>();
        Iterator<WorkerLink> first = suspects.iterator();
        while (next.size() < most && first.hasNext()) {
            next.add(first.next());
        }
        next.forEach(link -> moveToEnd(suspects, link));
        return next;
    }

    /** The next workers with links that work, in the order of their numbers after this one. */
    List<WorkerLink> nextHealthy(int after, int most) {
        List<WorkerLink> next = new ArrayList<>();
        long at = healthy.nextValue(after + 1);
        while (next.size() < most && at >= 0) {
            next.add(byId.get((int) at));
            at = healthy.nextValue((int) at + 1);
        }
        return next;
    }
}
