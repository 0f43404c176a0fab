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
    private static final int SPARE_NUMBERS = 64;

    private final ConnectivityConfig config;
    private final IntervalStatistics intervals;
    private final Map<String, WorkerLink> byName = new HashMap<>();

    /** Workers that report straight to this controller, the one that has been silent for longest first. */
    private final Set<WorkerLink> direct = new LinkedHashSet<>();

    /** All workers, that of which nothing has been seen for longest first. */
    private final Set<WorkerLink> byEvidence = new LinkedHashSet<>();

    /** Workers to which a request was sent, the one whose last outcome is oldest first. */
    private final Set<WorkerLink> byExamination = new LinkedHashSet<>();

    /** Workers with a link that does not work, the one that was asked after least lately first. */
    private final Set<WorkerLink> suspects = new LinkedHashSet<>();

    /** The numbers of workers with links that work. */
    private RoaringBitmap sound = new RoaringBitmap();

    /** All workers, also departed ones, by the number of their last change. */
    private final TreeMap<Long, WorkerLink> changes = new TreeMap<>();

    private final List<WorkerLink> byIndex = new ArrayList<>();
    private int epoch = 1;
    private long lastChange;
    private long suspicions;
    private boolean kept;
    private double boundMs;
    private long boundAt = -1;

    WorkerLinks(ConnectivityConfig config) {
        this.config = config;
        this.intervals = new IntervalStatistics(config.heartbeatIntervalMs());
    }

    /** Forgets all workers, as their state is to be learnt anew. */
    void clear() {
        byName.clear();
        direct.clear();
        byEvidence.clear();
        byExamination.clear();
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
    boolean reported(WorkerHeartbeat report, long now) {
        WorkerLink link = link(report, now);
        if (!link.takeNumber(report)) {
            return false;
        }
        if (link.directAt >= 0 && link.relayedSince < 0) {
            intervals.add(now - link.directAt);
        }
        boolean answered = link.answeredAt >= link.directAt && link.answeredAt >= 0;
        boolean outbound = link.outbound || !link.examined;
        if (answered && report.acceptedTerm()) {
            link.requestArrived();
            outbound = true;
        } else if (answered && link.requestLost()) {
            outbound = false;
        }
        link.directAt = now;
        link.relayedSince = -1;
        seen(link, now);
        moveToEnd(direct, link);
        update(link, link.examined, true, outbound, now);
        return true;
    }

    /** A report that came by way of another controller. */
    void relayed(WorkerHeartbeat report, long now) {
        WorkerLink link = link(report, now);
        if (!link.takeNumber(report)) {
            return;
        }
        boolean outbound = link.outbound && !link.leftAlthoughAnswered();
        if (link.relayedSince < 0) {
            link.relayedSince = now;
        }
        seen(link, now);
        direct.remove(link);
        update(link, link.examined, false, outbound, now);
    }

    /** The worker's last report was answered. */
    void answered(String name, long now) {
        WorkerLink link = byName.get(name);
        if (link != null) {
            link.answeredAt = now;
        }
    }

    /** A request to the worker was answered. */
    void reached(String name, boolean probe, long now) {
        WorkerLink link = byName.get(name);
        if (link == null) {
            return;
        }
        link.requestArrived();
        link.probeAnsweredAt = probe ? now : link.probeAnsweredAt;
        seen(link, now);
        examined(link, now);
        update(link, true, link.inbound, true, now);
    }

    /** A request to the worker was not answered. */
    void missed(String name, boolean probe, long now) {
        WorkerLink link = byName.get(name);
        if (link == null) {
            return;
        }
        link.probeFailedAt = probe ? now : link.probeFailedAt;
        boolean lost = link.requestLost() || probe;
        if (probe) {
            seen(link, now);
        }
        examined(link, now);
        update(link, true, link.inbound, link.outbound && !lost, now);
    }

    /** The worker is gone for good. */
    void gone(String name) {
        WorkerLink link = byName.remove(name);
        if (link == null) {
            return;
        }
        direct.remove(link);
        byEvidence.remove(link);
        byExamination.remove(link);
        suspects.remove(link);
        sound.remove(link.index);
        link.departed = true;
        changed(link);
        if (byIndex.size() > 2 * byName.size() + SPARE_NUMBERS) {
            renumber();
        }
    }

    /** Whether workers of which nothing is seen are kept, as a leader keeps all until they are gone. */
    void keep(boolean all) {
        kept = all;
        if (!kept) {
            byEvidence.clear();
            byName.values().stream()
                    .sorted(Comparator.comparingLong(link -> link.evidenceAt))
                    .forEach(byEvidence::add);
        }
    }

    /** Notes who has fallen silent; who is not kept and of whom nothing is seen any more is forgotten. */
    void sweep(long now, long lateMs) {
        double silent = silenceBoundMs(now) + lateMs;
        for (Iterator<WorkerLink> oldest = direct.iterator(); oldest.hasNext(); ) {
            WorkerLink link = oldest.next();
            if (now - link.directAt <= silent) {
                break;
            }
            oldest.remove();
            suspicions++;
            update(link, link.examined, false, link.outbound, now);
        }
        if (!kept) {
            forgetOutcomes(now - config.probeResultMaxAgeMs() - lateMs, now);
            forget(now - config.workerEvidenceMaxAgeMs() - lateMs);
        }
    }

    private void forgetOutcomes(long before, long now) {
        for (Iterator<WorkerLink> oldest = byExamination.iterator(); oldest.hasNext(); ) {
            WorkerLink link = oldest.next();
            if (link.examinedAt >= before) {
                break;
            }
            oldest.remove();
            update(link, false, link.inbound, link.outbound, now);
        }
    }

    private void forget(long before) {
        List<String> names = new ArrayList<>();
        for (WorkerLink link : byEvidence) {
            if (link.evidenceAt >= before) {
                break;
            }
            names.add(link.name);
        }
        names.forEach(this::gone);
    }

    /** The silence after which a worker is suspect, from the measured intervals of all; computed now and then. */
    double silenceBoundMs(long now) {
        if (boundAt < 0 || now - boundAt > config.exchangeIntervalMs(true)) {
            boundAt = now;
            boundMs = Math.min(config.workerLeaseMs() / 2.0, intervals.silenceMs(LinkObserver.FAILING_SUSPICION));
        }
        return boundMs;
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
        link.index = byIndex.size();
        link.evidenceAt = now;
        byIndex.add(link);
        byName.put(name, link);
        byEvidence.add(link);
        changed(link);
        judge(link, now);
        return link;
    }

    private void seen(WorkerLink link, long now) {
        link.evidenceAt = now;
        if (!kept) {
            moveToEnd(byEvidence, link);
        }
    }

    private void examined(WorkerLink link, long now) {
        link.examinedAt = now;
        moveToEnd(byExamination, link);
    }

    private static void moveToEnd(Set<WorkerLink> set, WorkerLink link) {
        set.remove(link);
        set.add(link);
    }

    private void update(WorkerLink link, boolean examined, boolean inbound, boolean outbound, long now) {
        if (link.examined != examined || link.inbound != inbound || link.outbound != outbound) {
            link.examined = examined;
            link.inbound = inbound;
            link.outbound = outbound;
            changed(link);
        }
        judge(link, now);
    }

    private void judge(WorkerLink link, long now) {
        boolean works = link.inbound && (link.outbound || !link.examined);
        if (works && link.sound) {
            return;
        }
        link.sound = works;
        if (works) {
            suspects.remove(link);
            sound.add(link.index);
            link.suspectSince = -1;
            link.keptSince = -1;
        } else if (link.suspectSince < 0) {
            suspects.add(link);
            sound.remove(link.index);
            link.suspectSince = now;
        }
    }

    // ---- what others are told

    private void changed(WorkerLink link) {
        changes.remove(link.change);
        link.change = ++lastChange;
        changes.put(link.change, link);
    }

    /** Departed workers' numbers are given up, and every number is given anew. */
    private void renumber() {
        epoch++;
        byIndex.clear();
        changes.clear();
        sound = new RoaringBitmap();
        for (WorkerLink link : byName.values()) {
            link.index = byIndex.size();
            byIndex.add(link);
            if (link.suspectSince < 0) {
                sound.add(link.index);
            }
            link.change = ++lastChange;
            changes.put(link.change, link);
        }
    }

    /** The number of the time for which workers keep their numbers. */
    int epoch() {
        return epoch;
    }

    /** Workers that changed after a change, in the order of their last changes, at most so many. */
    List<WorkerLink> changedAfter(long change, int most) {
        List<WorkerLink> list = new ArrayList<>();
        for (WorkerLink link : changes.tailMap(change, false).values()) {
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
    List<WorkerLink> nextSound(int after, int most) {
        List<WorkerLink> next = new ArrayList<>();
        long at = sound.nextValue(after + 1);
        while (next.size() < most && at >= 0) {
            next.add(byIndex.get((int) at));
            at = sound.nextValue((int) at + 1);
        }
        return next;
    }
}
