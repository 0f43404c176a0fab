package stileferry.connectivity;

import static stileferry.validation.InvalidInputException.require;
import static stileferry.validation.InvalidInputException.requireName;
import static stileferry.validation.InvalidInputException.requireTime;

import java.util.List;
import stileferry.connectivity.ReachabilityView.ProbeTarget;

/**
 * What one controller knows of the links between controllers, workers and the state service, and what follows from it
 * for the leadership. A host program reports what it observes, carries this controller's views to the other controllers
 * and theirs back, and asks for advice and permissions.
 *
 * <p>All times are milliseconds of a monotonic clock; one before the last counts as the last. Not thread-safe. Invalid
 * input, including the name of an unknown controller, throws {@code InvalidInputException} and changes nothing.
 */
public final class Connectivity {
    private final ConnectivityConfig config;
    private final ObservedLinks links;
    private final ProbePlanner probePlanner;
    private final ProbeQueue probeQueue = new ProbeQueue();
    private final LeadershipControl leadership;
    private final ViewSynchronizer views;
    private final LeaderPermissions permissions;

    /**
     * Starts to monitor the links of one controller.
     *
     * @param incarnation higher than that of the controller's former processes, such as the time of day at its start
     */
    public Connectivity(ConnectivityConfig config, long incarnation, long now) {
        require(config != null, "config", "missing");
        require(incarnation > 0, "incarnation", "must be above 0");
        requireTime(now);
        this.config = config;
        links = new ObservedLinks(config, now);
        probePlanner = new ProbePlanner(config);
        leadership = new LeadershipControl(links, probePlanner);
        views = new ViewSynchronizer(links, leadership, probePlanner, probeQueue, incarnation);
        permissions = new LeaderPermissions(links, leadership);
    }

    // ---- observations: state service and controllers

    /** The state service answered a request. */
    public void storeAnswered(long time) {
        links.advance(time);
        links.store.succeeded(links.now());
    }

    /** A request to the state service failed. */
    public void storeFailed(FailureKind kind, long time) {
        require(kind != null, "kind", "missing");
        links.advance(time);
        links.store.failed(kind);
    }

    /** Another controller answered a request of this one. */
    public void peerRequestAnswered(String peer, long time) {
        PeerLink link = links.peers.get(peer);
        links.advance(time);
        link.requestAnswered(links.now());
    }

    /** Another controller sent a request to this one. */
    public void peerMessageReceived(String peer, long time) {
        PeerLink link = links.peers.get(peer);
        links.advance(time);
        link.messageReceived(links.now());
    }

    /** A request to another controller failed. */
    public void peerRequestFailed(String peer, FailureKind kind, long time) {
        PeerLink link = links.peers.get(peer);
        require(kind != null, "kind", "missing");
        links.advance(time);
        link.outbound.failed(kind);
    }

    // ---- observations: workers

    /** A worker is expected to exist, though no heartbeat of it has arrived; only a leader knows. */
    public void workerExpected(String worker, String address, long time) {
        requireName(worker, "worker");
        require(address != null, "address", "missing");
        links.advance(time);
        links.workers.expected(worker, address, links.now());
    }

    /** A heartbeat arrived straight from its worker; returns false where it is a copy or late. */
    public boolean heartbeatReceived(WorkerHeartbeat heartbeat, long time) {
        require(heartbeat != null, "heartbeat", "missing");
        links.advance(time);
        return links.workers.heartbeatReceived(heartbeat, links.now());
    }

    /** A heartbeat was relayed by another controller. */
    public void relayedHeartbeatReceived(WorkerHeartbeat heartbeat, long time) {
        require(heartbeat != null, "heartbeat", "missing");
        links.advance(time);
        links.workers.relayedHeartbeatReceived(heartbeat, links.now());
    }

    /** The worker's last heartbeat that was not relayed was answered. */
    public void heartbeatAnswered(String worker, long time) {
        requireName(worker, "worker");
        links.advance(time);
        links.workers.heartbeatAnswered(worker, links.now());
    }

    /** A worker answered a request; {@code probe}: one from {@link #takeDueProbes}. */
    public void workerRequestAnswered(String worker, boolean probe, long time) {
        requireName(worker, "worker");
        links.advance(time);
        trackProbedWorker(worker, probe);
        links.workers.requestAnswered(worker, probe, links.now());
    }

    /** A worker did not answer a request; {@code probe}: one from {@link #takeDueProbes}. */
    public void workerRequestFailed(String worker, boolean probe, long time) {
        requireName(worker, "worker");
        links.advance(time);
        trackProbedWorker(worker, probe);
        links.workers.requestFailed(worker, probe, links.now());
    }

    /** A follower learns of workers from the leader's probe targets; a worker that a leader lacks may be removed. */
    private void trackProbedWorker(String worker, boolean probe) {
        if (probe && !links.leading()) {
            links.workers.expected(worker, "", links.now());
        }
    }

    /** A worker no longer exists. */
    public void workerRemoved(String worker, long time) {
        requireName(worker, "worker");
        links.advance(time);
        links.workers.removed(worker);
    }

    // ---- observations: this controller

    /** The event-loop lag in milliseconds, and whether this process counts as behind with its work. */
    public void eventLoopLagMeasured(long lagMs, boolean behind, long time) {
        require(lagMs >= 0, "lagMs", "negative");
        links.advance(time);
        links.eventLoopLagMeasured(lagMs, behind);
    }

    /** This controller leads from now on. */
    public void elected(long newTerm, long time) {
        require(newTerm > 0, "term", "must be above 0");
        links.advance(time);
        leadership.elected(newTerm);
        links.setLeading(true);
        probePlanner.reset();
    }

    /** Which controller leads in which term, as far as this controller knows; empty: not known. */
    public void leaderObserved(long term, String leader, long time) {
        require(term >= 0, "term", "negative");
        require(leader != null, "leader", "missing");
        links.advance(time);
        leadership.leaderObserved(term, leader);
    }

    /** This controller no longer leads; {@code storeLost}: because the state service did not answer it. */
    public void deposed(boolean storeLost, long time) {
        links.advance(time);
        leadership.deposed(storeLost);
        links.setLeading(false);
        probePlanner.reset();
        probeQueue.clear();
    }

    // ---- views

    /** The interval in milliseconds at which views should be exchanged with each controller now. */
    public long exchangeIntervalMs() {
        boolean manySuspects = links.leading() && ProbePlanner.manySuspects(links.workers);
        return config.exchangeIntervalMs(manySuspects || handingOver());
    }

    /** The view to be sent to another controller now. */
    public ReachabilityView viewFor(String peer, long time) {
        PeerLink link = links.peers.get(peer);
        links.advance(time);
        links.detectSilentWorkers();
        return views.viewFor(link);
    }

    /** Merges another controller's view; stale and repeated views change nothing. */
    public void receive(ReachabilityView view, long time) {
        require(view != null, "view", "missing");
        PeerLink link = links.peers.get(view.header().sender());
        views.validate(view);
        links.advance(time);
        views.receive(link, view);
    }

    /** Whether a fresh view of another controller, which is neither lagging nor failing requests, lists a worker. */
    public boolean peerKnowsWorker(String peer, String worker, long time) {
        PeerLink link = links.peers.get(peer);
        requireName(worker, "worker");
        links.advance(time);
        return links.peers.fresh(link, links.now())
                && !link.reportsLag()
                && link.outbound.consecutiveFailures() == 0
                && link.view.lists(worker);
    }

    /** Whether a fresh view of another controller says that its requests do not reach a worker. */
    public boolean peerCannotReachWorker(String peer, String worker, long time) {
        PeerView view = links.peers.get(peer).view;
        return peerKnowsWorker(peer, worker, time) && view.outboundKnown(worker) && !view.reaches(worker);
    }

    /** Whether requests to another controller have failed for long, though it does not report lag. */
    public boolean peerUnreachable(String peer, long time) {
        PeerLink link = links.peers.get(peer);
        links.advance(time);
        return link.unreachable(links.now(), links.eventLoopLagMs());
    }

    /** Who leads in the newest term, from {@code minTerm} on, that a fresh view names a leader in; empty: none does. */
    public String leaderReportedByPeers(long minTerm, long time) {
        links.advance(time);
        return links.peers.reportedLeader(minTerm, links.now());
    }

    /** Whether another controller, by its last view, is handing over the leadership or has just done so. */
    public boolean peerHandsOver(String peer, long time) {
        PeerLink link = links.peers.get(peer);
        links.advance(time);
        return leadership.peerHandsOver(link);
    }

    // ---- probes

    /** Removes and returns at most {@code max} probes to be sent now; the host must report the outcome of each. */
    public List<ProbeTarget> takeDueProbes(int max, long time) {
        require(max >= 0, "max", "negative");
        links.advance(time);
        if (links.leading()) {
            probePlanner.nextOwnProbes(links.workers, links.now()).forEach(probeQueue::offer);
        }
        return probeQueue.poll(max);
    }

    // ---- leadership

    /** What this controller should do about the leadership. */
    public LeadershipAdvice advise(long time) {
        links.advance(time);
        links.detectSilentWorkers();
        return leadership.advise();
    }

    /** For how many milliseconds this controller should not become a candidate. */
    public long electionDelayMs(long time) {
        links.advance(time);
        return leadership.electionDelayMs();
    }

    /** Whether the links permit a decision. */
    public Verdict permits(Decision decision, long time) {
        require(decision != null, "decision", "missing");
        links.advance(time);
        links.detectSilentWorkers();
        return permissions.permits(decision);
    }

    /** Whether the links permit the removal of a silent worker before its lease has expired. */
    public Verdict permitsRemovingWorker(String worker, long time) {
        requireName(worker, "worker");
        links.advance(time);
        links.detectSilentWorkers();
        return permissions.permitsRemoving(worker);
    }

    // ---- handover

    /** Starts a handover to another controller, which withholds all decisions; false: not possible now. */
    public boolean beginHandover(String nominee, long time) {
        PeerLink link = links.peers.get(nominee);
        links.advance(time);
        return leadership.beginHandover(link);
    }

    /** Whether a handover is under way. */
    public boolean handingOver() {
        return leadership.handover().inProgress();
    }

    /** The next step of a handover; {@code changesInFlight}: commits that the state service has not answered yet. */
    public HandoverAction advanceHandover(int changesInFlight, long time) {
        require(changesInFlight >= 0, "changesInFlight", "negative");
        links.advance(time);
        return leadership.advanceHandover(changesInFlight);
    }

    /** This controller has released the leadership, and delays its next candidacy. */
    public void leadershipReleased(long time) {
        links.advance(time);
        leadership.leadershipReleased();
    }

    // ---- operators

    /** All that is known now. */
    public ConnectivitySnapshot snapshot(long time) {
        links.advance(time);
        links.detectSilentWorkers();
        return SnapshotBuilder.build(links, leadership, permissions.withheld(), views.staleViews());
    }
}
