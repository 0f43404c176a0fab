package stileferry.connectivity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The links to all known workers. A heartbeat costs the same whatever the number of workers; the detection of silent
 * workers looks only at those that have fallen silent since the last one.
 */
final class WorkerLinks {
    private final ConnectivityConfig config;
    private final WorkerSuspicionTimeout suspicionTimeout;
    private final WorkerNumbering numbering = new WorkerNumbering();
    private final SuspectTracker suspects = new SuspectTracker(numbering);
    private final Map<String, WorkerLink> byName = new HashMap<>();

    /** Workers whose heartbeats come straight to this controller, the one that has been silent for longest first. */
    private final Set<WorkerLink> byDirectHeartbeat = new LinkedHashSet<>();

    /** All workers, the least recently seen first. */
    private final Set<WorkerLink> byLastSeen = new LinkedHashSet<>();

    /** Workers with a known outcome of a request, the oldest outcome first. */
    private final Set<WorkerLink> byOutboundObserved = new LinkedHashSet<>();

    private long suspicions;
    private boolean retainSilent;

    WorkerLinks(ConnectivityConfig config) {
        this.config = config;
        this.suspicionTimeout = new WorkerSuspicionTimeout(config);
    }

    /** Forgets all workers. */
    void clear() {
        byName.clear();
        byDirectHeartbeat.clear();
        byLastSeen.clear();
        byOutboundObserved.clear();
        suspects.clear();
        startEpoch();
    }

    // ---- observations

    /** A worker is expected to exist, though no heartbeat of it has arrived. */
    void expected(String name, String address, long now) {
        WorkerLink known = byName.get(name);
        if (known == null) {
            add(name, address, now);
        } else if (known.address.isEmpty()) {
            known.address = address;
        }
    }

    /** A heartbeat arrived straight from its worker; false where it is a copy or late. */
    boolean heartbeatReceived(WorkerHeartbeat heartbeat, long now) {
        WorkerLink link = findOrAdd(heartbeat, now);
        if (!link.acceptIfNewer(heartbeat)) {
            return false;
        }
        if (link.directHeartbeatAt >= 0 && link.relayedSince < 0) {
            suspicionTimeout.addInterval(now - link.directHeartbeatAt);
        }
        boolean outbound = link.evaluateOutbound(heartbeat);
        link.directHeartbeatAt = now;
        link.relayedSince = -1;
        markSeen(link, now);
        moveToEnd(byDirectHeartbeat, link);
        update(link, link.reachability.withInbound(true).withOutbound(outbound), now);
        return true;
    }

    /** A heartbeat was relayed by another controller. */
    void relayedHeartbeatReceived(WorkerHeartbeat heartbeat, long now) {
        WorkerLink link = findOrAdd(heartbeat, now);
        if (!link.acceptIfNewer(heartbeat)) {
            return;
        }
        boolean outbound = link.reachability.outbound() && !link.switchedToRelayDespiteAnswer();
        if (link.relayedSince < 0) {
            link.relayedSince = now;
        }
        markSeen(link, now);
        byDirectHeartbeat.remove(link);
        update(link, link.reachability.withInbound(false).withOutbound(outbound), now);
    }

    /** The worker's last heartbeat was answered. */
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
        if (probe) {
            link.probeAnsweredAt = now;
        }
        markSeen(link, now);
        markOutboundObserved(link, now);
        update(link, link.reachability.withOutboundResult(true), now);
    }

    /** A request to the worker was not answered; a single failed probe counts, other requests may get lost. */
    void requestFailed(String name, boolean probe, long now) {
        WorkerLink link = byName.get(name);
        if (link == null) {
            return;
        }
        boolean lost = link.requestFailed() || probe;
        if (probe) {
            link.probeFailedAt = now;
            markSeen(link, now);
        }
        markOutboundObserved(link, now);
        update(link, link.reachability.withOutboundResult(link.reachability.outbound() && !lost), now);
    }

    /** The worker no longer exists. */
    void removed(String name) {
        WorkerLink link = byName.remove(name);
        if (link == null) {
            return;
        }
        byDirectHeartbeat.remove(link);
        byLastSeen.remove(link);
        byOutboundObserved.remove(link);
        suspects.remove(link);
        link.removed = true;
        numbering.markChanged(link);
        if (numbering.hasTooManyUnusedIds(byName.size())) {
            startEpoch();
        }
    }

    // ---- silence

    /** Whether silent workers are retained, as a leader retains all until they are removed. */
    void retainSilent(boolean retain) {
        retainSilent = retain;
        if (!retainSilent) {
            byLastSeen.clear();
            byName.values().stream()
                    .sorted(Comparator.comparingLong(link -> link.lastSeenAt))
                    .forEach(byLastSeen::add);
        }
    }

    /** Marks workers that have fallen silent; forgets those that are not retained and were not seen for long. */
    void detectSilent(long now, long eventLoopLagMs) {
        double timeoutMs = suspicionTimeoutMs(now) + eventLoopLagMs;
        for (Iterator<WorkerLink> oldest = byDirectHeartbeat.iterator(); oldest.hasNext(); ) {
            WorkerLink link = oldest.next();
            if (now - link.directHeartbeatAt <= timeoutMs) {
                break;
            }
            oldest.remove();
            suspicions++;
            update(link, link.reachability.withInbound(false), now);
        }
        if (!retainSilent) {
            expireOutboundResults(now - config.probeResultMaxAgeMs() - eventLoopLagMs, now);
            forgetUnseen(now - config.workerEvidenceMaxAgeMs() - eventLoopLagMs);
        }
    }

    private void expireOutboundResults(long before, long now) {
        for (Iterator<WorkerLink> oldest = byOutboundObserved.iterator(); oldest.hasNext(); ) {
            WorkerLink link = oldest.next();
            if (link.outboundObservedAt >= before) {
                break;
            }
            oldest.remove();
            update(link, link.reachability.withOutboundExpired(), now);
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

    // ---- bookkeeping

    private WorkerLink findOrAdd(WorkerHeartbeat heartbeat, long now) {
        WorkerLink link = byName.get(heartbeat.worker());
        if (link == null) {
            link = add(heartbeat.worker(), heartbeat.address(), now);
        }
        link.address = heartbeat.address();
        return link;
    }

    private WorkerLink add(String name, String address, long now) {
        WorkerLink link = new WorkerLink(name, address);
        link.lastSeenAt = now;
        byName.put(name, link);
        byLastSeen.add(link);
        numbering.add(link);
        suspects.update(link, now);
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

    private static void moveToEnd(Set<WorkerLink> links, WorkerLink link) {
        links.remove(link);
        links.add(link);
    }

    private void update(WorkerLink link, WorkerReachability reachability, long now) {
        if (!link.reachability.equals(reachability)) {
            link.reachability = reachability;
            numbering.markChanged(link);
        }
        suspects.update(link, now);
    }

    private void startEpoch() {
        numbering.startEpoch(byName.values());
        suspects.idsReassigned(byName.values());
    }

    // ---- queries

    /** The ids and versions of workers in this controller's views. */
    WorkerNumbering numbering() {
        return numbering;
    }

    /** The suspect and the healthy workers. */
    SuspectTracker suspects() {
        return suspects;
    }

    int count() {
        return byName.size();
    }

    int suspectCount() {
        return suspects.suspectCount();
    }

    /** Workers whose heartbeats come straight to this controller. */
    int directCount() {
        return byDirectHeartbeat.size();
    }

    /** How often a worker has become suspect by its silence. */
    long suspicions() {
        return suspicions;
    }

    /** The silence in milliseconds after which a worker is suspect. */
    double suspicionTimeoutMs(long now) {
        return suspicionTimeout.timeoutMs(now);
    }

    /** Null: not known. */
    WorkerLink find(String name) {
        return byName.get(name);
    }
}
