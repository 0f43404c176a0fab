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
 * The links to all known workers. The cost of a heartbeat does not depend on the number of workers; the detection of
 * silent workers visits only those that have become silent since the last detection.
 */
final class WorkerLinks {
    private final ConnectivityConfig config;
    private final WorkerSuspicionTimeout suspicionTimeout;
    private final WorkerNumbering numbering = new WorkerNumbering();
    private final SuspectTracker suspects = new SuspectTracker(numbering);
    private final Map<String, WorkerLink> byName = new HashMap<>();

    /** Workers whose heartbeats arrive directly at this controller, the one with the oldest heartbeat first. */
    private final Set<WorkerLink> byDirectHeartbeat = new LinkedHashSet<>();

    /** All workers, the least recently seen first; the order is not maintained while silent workers are retained. */
    private final Set<WorkerLink> byLastSeen = new LinkedHashSet<>();

    /** Workers with an observed outcome of a request, the oldest outcome first. */
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

    /**
     * Adds a worker that should exist although no heartbeat from it has arrived; for a known worker, sets the address
     * if it has none.
     */
    void expected(String name, String address, long now) {
        WorkerLink known = byName.get(name);
        if (known == null) {
            add(name, address, now);
        } else if (known.address.isEmpty()) {
            known.address = address;
        }
    }

    /** Records a direct heartbeat; returns false if it is a duplicate or older than one already received. */
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

    /** Records a heartbeat that another controller relayed; ignored if it is a duplicate or older than one received. */
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

    /** Records that the worker's last direct heartbeat received a response. */
    void heartbeatAnswered(String name, long now) {
        WorkerLink link = byName.get(name);
        if (link != null) {
            link.heartbeatAnsweredAt = now;
        }
    }

    /** Records that a request to the worker received a response. */
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

    /**
     * Records that a request to the worker received no response. One failed probe is enough for the worker to count as
     * not reached; of other requests, single ones may get lost.
     */
    void requestFailed(String name, boolean probe, long now) {
        WorkerLink link = byName.get(name);
        if (link == null) {
            return;
        }
        boolean unreachable = link.requestFailed() || probe;
        if (probe) {
            link.probeFailedAt = now;
            markSeen(link, now);
        }
        markOutboundObserved(link, now);
        update(link, link.reachability.withOutboundResult(link.reachability.outbound() && !unreachable), now);
    }

    /** Removes a worker that no longer exists. */
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

    // ---- silent workers

    /** Sets whether silent workers are retained; a leader retains all workers until they are removed. */
    void retainSilent(boolean retain) {
        retainSilent = retain;
        if (!retainSilent) {
            byLastSeen.clear();
            byName.values().stream()
                    .sorted(Comparator.comparingLong(link -> link.lastSeenAt))
                    .forEach(byLastSeen::add);
        }
    }

    /**
     * Marks workers whose direct heartbeats have stopped. Unless silent workers are retained, this also expires old
     * outcomes of requests and forgets workers that have not been seen for too long.
     */
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

    // ---- state changes

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

    /** Returns the ids and versions of workers in this controller's views. */
    WorkerNumbering numbering() {
        return numbering;
    }

    /** Returns the groups of suspect and healthy workers. */
    SuspectTracker suspects() {
        return suspects;
    }

    int count() {
        return byName.size();
    }

    int suspectCount() {
        return suspects.suspectCount();
    }

    /** Returns the number of workers whose heartbeats arrive directly at this controller. */
    int directCount() {
        return byDirectHeartbeat.size();
    }

    /** Returns how often a worker has become suspect because its heartbeats stopped. */
    long suspicions() {
        return suspicions;
    }

    /** Returns the silence in milliseconds after which a worker is suspect, without allowance for event-loop lag. */
    double suspicionTimeoutMs(long now) {
        return suspicionTimeout.timeoutMs(now);
    }

    /** Returns the links to a worker, or null if the worker is not known. */
    WorkerLink find(String name) {
        return byName.get(name);
    }
}
