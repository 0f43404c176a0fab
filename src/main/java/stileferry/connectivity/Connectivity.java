package stileferry.connectivity;

import static stileferry.validation.InvalidInputException.require;
import static stileferry.validation.InvalidInputException.requireNonEmptyName;
import static stileferry.validation.InvalidInputException.requireNonNegativeTime;

import java.util.List;
import stileferry.connectivity.ReachabilityView.ProbeTarget;

/**
 * Tracks the health of one controller's links to workers, the other controllers and the key-value store, and derives
 * leadership advice and decision permissions from it. The host program reports the events that it observes, exchanges
 * views with the other controllers, and asks for advice and permissions.
 *
 * <p>All times are milliseconds of a monotonic clock. A time earlier than the latest reported time is replaced by the
 * latest one. Not thread-safe. Invalid input, including the name of an unknown controller, throws
 * {@code InvalidInputException} and changes nothing.
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
     * Starts monitoring the links of one controller.
     *
     * @param incarnation a positive number that is higher for each process of the controller than for its earlier ones,
     *     such as the wall-clock time at the process start
     */
    public Connectivity(ConnectivityConfig config, long incarnation, long now) {
        require(config != null, "config", "missing");
        require(incarnation > 0, "incarnation", "must be above 0");
        requireNonNegativeTime(now);
        this.config = config;
        links = new ObservedLinks(config, now);
        probePlanner = new ProbePlanner(config);
        leadership = new LeadershipControl(links, probePlanner);
        views = new ViewSynchronizer(links, leadership, probePlanner, probeQueue, incarnation);
        permissions = new LeaderPermissions(links, leadership);
    }

    // ---- observations: key-value store and controllers

    /** Records that the key-value store responded to a request. */
    public void storeAnswered(long time) {
        links.advance(time);
        links.store.succeeded(links.now());
    }

    /** Records that a request to the key-value store failed. */
    public void storeFailed(FailureKind kind, long time) {
        require(kind != null, "kind", "missing");
        links.advance(time);
        links.store.failed(kind);
    }

    /** Records that another controller responded to a request from this one. */
    public void peerRequestAnswered(String peer, long time) {
        PeerLink link = links.peers.get(peer);
        links.advance(time);
        link.requestAnswered(links.now());
    }

    /** Records that a request from another controller arrived. */
    public void peerMessageReceived(String peer, long time) {
        PeerLink link = links.peers.get(peer);
        links.advance(time);
        link.messageReceived(links.now());
    }

    /** Records that a request to another controller failed. */
    public void peerRequestFailed(String peer, FailureKind kind, long time) {
        PeerLink link = links.peers.get(peer);
        require(kind != null, "kind", "missing");
        links.advance(time);
        link.outbound.failed(kind);
    }

    // ---- observations: workers

    /** Adds a worker that should exist although no heartbeat from it has arrived; only a leader knows such workers. */
    public void workerExpected(String worker, String address, long time) {
        requireNonEmptyName(worker, "worker");
        require(address != null, "address", "missing");
        links.advance(time);
        links.workers.expected(worker, address, links.now());
    }

    /**
     * Records a heartbeat that arrived directly from its worker.
     *
     * @return false if the heartbeat is ignored because it is a duplicate or older than one already received
     */
    public boolean heartbeatReceived(WorkerHeartbeat heartbeat, long time) {
        require(heartbeat != null, "heartbeat", "missing");
        links.advance(time);
        return links.workers.heartbeatReceived(heartbeat, links.now());
    }

    /** Records a heartbeat that another controller relayed; one that is a duplicate or out of order is ignored. */
    public void relayedHeartbeatReceived(WorkerHeartbeat heartbeat, long time) {
        require(heartbeat != null, "heartbeat", "missing");
        links.advance(time);
        links.workers.relayedHeartbeatReceived(heartbeat, links.now());
    }

    /** Records that the worker's last direct heartbeat received a response. */
    public void heartbeatAnswered(String worker, long time) {
        requireNonEmptyName(worker, "worker");
        links.advance(time);
        links.workers.heartbeatAnswered(worker, links.now());
    }

    /**
     * Records that a worker responded to a request.
     *
     * @param probe whether the request was a probe from {@link #takeDueProbes}
     */
    public void workerRequestAnswered(String worker, boolean probe, long time) {
        requireNonEmptyName(worker, "worker");
        links.advance(time);
        trackProbedWorker(worker, probe);
        links.workers.requestAnswered(worker, probe, links.now());
    }

    /**
     * Records that a worker did not respond to a request.
     *
     * @param probe whether the request was a probe from {@link #takeDueProbes}
     */
    public void workerRequestFailed(String worker, boolean probe, long time) {
        requireNonEmptyName(worker, "worker");
        links.advance(time);
        trackProbedWorker(worker, probe);
        links.workers.requestFailed(worker, probe, links.now());
    }

    /**
     * Adds a probed worker on a follower, which learns of workers from the leader's probe targets. A leader does not
     * add it: a worker that it does not know may have been removed.
     */
    private void trackProbedWorker(String worker, boolean probe) {
        if (probe && !links.leading()) {
            links.workers.expected(worker, "", links.now());
        }
    }

    /** Removes a worker that no longer exists. */
    public void workerRemoved(String worker, long time) {
        requireNonEmptyName(worker, "worker");
        links.advance(time);
        links.workers.removed(worker);
    }

    // ---- observations: this controller

    /**
     * Records the event-loop lag of this process.
     *
     * @param lagMs by how many milliseconds timers fire late
     * @param overloaded whether this process cannot keep up with its work
     */
    public void eventLoopLagMeasured(long lagMs, boolean overloaded, long time) {
        require(lagMs >= 0, "lagMs", "negative");
        links.advance(time);
        links.eventLoopLagMeasured(lagMs, overloaded);
    }

    /**
     * Records that this controller leads from now on; all workers are forgotten, as followers do not learn of removals.
     */
    public void elected(long newTerm, long time) {
        require(newTerm > 0, "term", "must be above 0");
        links.advance(time);
        leadership.elected(newTerm);
        links.setLeading(true);
        probePlanner.reset();
    }

    /**
     * Records the newest term and its leader as far as this controller knows them.
     *
     * @param leader the leader's name, or an empty string if it is unknown
     */
    public void leaderObserved(long term, String leader, long time) {
        require(term >= 0, "term", "negative");
        require(leader != null, "leader", "missing");
        links.advance(time);
        leadership.leaderObserved(term, leader);
    }

    /**
     * Records that this controller no longer leads.
     *
     * @param storeLost whether it lost the leadership because the key-value store did not respond
     */
    public void deposed(boolean storeLost, long time) {
        links.advance(time);
        leadership.deposed(storeLost);
        links.setLeading(false);
        probePlanner.reset();
        probeQueue.clear();
    }

    // ---- views

    /**
     * Returns the current interval in milliseconds between two exchanges of views with the same controller; it is short
     * while a leader has many suspect workers or a handover is in progress.
     */
    public long exchangeIntervalMs() {
        boolean manySuspects = links.leading() && ProbePlanner.manySuspects(links.workers);
        return config.exchangeIntervalMs(manySuspects || handingOver());
    }

    /** Returns a new view to be sent to another controller now. */
    public ReachabilityView viewFor(String peer, long time) {
        PeerLink link = links.peers.get(peer);
        links.advance(time);
        links.detectSilentWorkers();
        return views.viewFor(link);
    }

    /** Merges a view from another controller; a duplicate or out-of-order view is not merged. */
    public void receive(ReachabilityView view, long time) {
        require(view != null, "view", "missing");
        PeerLink link = links.peers.get(view.header().sender());
        views.validate(view);
        links.advance(time);
        views.receive(link, view);
    }

    /**
     * Returns whether the view of another controller lists a worker, provided that the view is fresh, the controller
     * does not report event-loop lag, and no request to it has failed since its last response.
     */
    public boolean peerKnowsWorker(String peer, String worker, long time) {
        PeerLink link = links.peers.get(peer);
        requireNonEmptyName(worker, "worker");
        links.advance(time);
        return links.peers.fresh(link, links.now())
                && !link.reportsLag()
                && link.outbound.consecutiveFailures() == 0
                && link.view.lists(worker);
    }

    /**
     * Returns whether the view of another controller reports that its requests do not reach a worker, under the
     * conditions of {@link #peerKnowsWorker}.
     */
    public boolean peerCannotReachWorker(String peer, String worker, long time) {
        PeerView view = links.peers.get(peer).view;
        return peerKnowsWorker(peer, worker, time) && view.outboundKnown(worker) && !view.reaches(worker);
    }

    /** Returns whether requests to another controller keep failing although it does not report event-loop lag. */
    public boolean peerUnreachable(String peer, long time) {
        PeerLink link = links.peers.get(peer);
        links.advance(time);
        return link.unreachable(links.now(), links.eventLoopLagMs());
    }

    /**
     * Returns the leader of the newest term, {@code minTerm} or later, for which a fresh view names another controller
     * as leader, or an empty string if no view does.
     */
    public String leaderReportedByPeers(long minTerm, long time) {
        links.advance(time);
        return links.peers.reportedLeader(minTerm, links.now());
    }

    /** Returns whether another controller, by its last view, is handing over the leadership or has just done so. */
    public boolean peerHandsOver(String peer, long time) {
        PeerLink link = links.peers.get(peer);
        links.advance(time);
        return leadership.peerHandsOver(link);
    }

    // ---- probes

    /**
     * Removes and returns at most {@code max} probes to be sent now. The host must report the outcome of each with
     * {@link #workerRequestAnswered} or {@link #workerRequestFailed}.
     */
    public List<ProbeTarget> takeDueProbes(int max, long time) {
        require(max >= 0, "max", "negative");
        links.advance(time);
        if (links.leading()) {
            probePlanner.nextOwnProbes(links.workers, links.now()).forEach(probeQueue::offer);
        }
        return probeQueue.poll(max);
    }

    // ---- leadership

    /** Returns what this controller should do about the leadership, as leader or as follower. */
    public LeadershipAdvice advise(long time) {
        links.advance(time);
        links.detectSilentWorkers();
        return leadership.advise();
    }

    /** Returns for how many more milliseconds this controller should not become a candidate, or 0 if it may now. */
    public long electionDelayMs(long time) {
        links.advance(time);
        return leadership.electionDelayMs();
    }

    /** Checks whether the state of the links permits a decision; counts it if it is withheld. */
    public Verdict permits(Decision decision, long time) {
        require(decision != null, "decision", "missing");
        links.advance(time);
        links.detectSilentWorkers();
        return permissions.permits(decision);
    }

    /** Checks whether the state of the links permits removing a silent worker before its lease has expired. */
    public Verdict permitsRemovingWorker(String worker, long time) {
        requireNonEmptyName(worker, "worker");
        links.advance(time);
        links.detectSilentWorkers();
        return permissions.permitsRemoving(worker);
    }

    // ---- handover

    /**
     * Starts a handover to another controller. All decisions are withheld while it is in progress.
     *
     * @return false if a handover is not possible now
     */
    public boolean beginHandover(String nominee, long time) {
        PeerLink link = links.peers.get(nominee);
        links.advance(time);
        return leadership.beginHandover(link);
    }

    /** Returns whether a handover started by this controller is in progress. */
    public boolean handingOver() {
        return leadership.handover().inProgress();
    }

    /**
     * Advances the handover that is in progress, if any, and returns what the host has to do.
     *
     * @param changesInFlight commits to which the key-value store has not responded yet
     */
    public HandoverAction advanceHandover(int changesInFlight, long time) {
        require(changesInFlight >= 0, "changesInFlight", "negative");
        links.advance(time);
        return leadership.advanceHandover(changesInFlight);
    }

    /** Records that this controller has released the leadership; its next candidacy is delayed. */
    public void leadershipReleased(long time) {
        links.advance(time);
        leadership.leadershipReleased();
    }

    // ---- operators

    /** Returns the current state of all links for operators. */
    public ConnectivitySnapshot snapshot(long time) {
        links.advance(time);
        links.detectSilentWorkers();
        return SnapshotBuilder.build(links, leadership, permissions.withheld(), views.staleViews());
    }
}
