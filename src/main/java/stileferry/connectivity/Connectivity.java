package stileferry.connectivity;

import static stileferry.validation.InvalidInputException.require;
import static stileferry.validation.InvalidInputException.requireName;
import static stileferry.validation.InvalidInputException.requireTime;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import stileferry.connectivity.ReachabilityView.Header;
import stileferry.connectivity.ReachabilityView.ProbeTarget;

/**
 * What one controller knows of all links, and what follows from it. A host program tells it what it sees, with the time
 * of a steady clock in milliseconds, carries its views to the other controllers and back, and asks it for advice.
 *
 * <p>Not safe for use by several threads. Input that can't be right throws {@code InvalidInputException} and changes
 * nothing. A time before the last one counts as the last one.
 */
public final class Connectivity {
    /** Probes that wait to be sent; more are forgotten, since they come again. */
    private static final int MAX_QUEUED_PROBES = 64;

    /** Failed requests in a row after which another controller counts as out of reach until it answers one. */
    private static final int MAX_PEER_FAILURES = 2;

    private final ConnectivityConfig config;
    private final ObservedLinks links;
    private final SentViewLog sentViews = new SentViewLog();
    private final ViewBuilder viewBuilder;
    private final ProbePlanner probePlanner;
    private final LeadershipControl leadership;
    private final DecisionGate gate;

    /** Workers that shall be asked whether requests reach them, in the order of their arrival. */
    private final Map<String, ProbeTarget> queuedProbes = new LinkedHashMap<>();

    private long incarnation;
    private long withheldDecisions;
    private long staleViews;

    /**
     * Begins to watch.
     *
     * @param incarnation higher than that of the process's former lives, such as the time of day at its start
     */
    public Connectivity(ConnectivityConfig config, long incarnation, long now) {
        require(config != null, "config", "missing");
        require(incarnation > 0, "incarnation", "must be above 0");
        requireTime(now);
        this.config = config;
        this.incarnation = incarnation;
        links = new ObservedLinks(config, now);
        viewBuilder = new ViewBuilder(config, links.workers, sentViews);
        probePlanner = new ProbePlanner(config);
        leadership = new LeadershipControl(links, probePlanner);
        gate = new DecisionGate(config);
    }

    // ---- what the host sees

    /** The state service has answered. */
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
        PeerLinks.Peer known = links.peers.get(peer);
        links.advance(time);
        known.everReachable = true;
        known.outbound.succeeded(links.now());
    }

    /** Another controller sent something by itself. */
    public void peerMessageReceived(String peer, long time) {
        PeerLinks.Peer known = links.peers.get(peer);
        links.advance(time);
        known.everReachable = true;
        known.inbound.succeeded(links.now());
    }

    /** A request to another controller failed. */
    public void peerRequestFailed(String peer, FailureKind kind, long time) {
        PeerLinks.Peer known = links.peers.get(peer);
        require(kind != null, "kind", "missing");
        links.advance(time);
        known.outbound.failed(kind);
    }

    /** A worker should be there, though nothing was heard of it yet; only a leader knows. */
    public void workerExpected(String worker, String address, long time) {
        requireName(worker, "worker");
        require(address != null, "address", "missing");
        links.advance(time);
        links.workers.expected(worker, address, links.now());
    }

    /** A report came straight from its worker; false when it is a copy, or came late. */
    public boolean heartbeatReceived(WorkerHeartbeat report, long time) {
        require(report != null, "report", "missing");
        links.advance(time);
        return links.workers.heartbeatReceived(report, links.now());
    }

    /** A report came by way of another controller. */
    public void relayedHeartbeatReceived(WorkerHeartbeat report, long time) {
        require(report != null, "report", "missing");
        links.advance(time);
        links.workers.relayedHeartbeatReceived(report, links.now());
    }

    /** The last report that came straight from this worker was answered. */
    public void heartbeatAnswered(String worker, long time) {
        requireName(worker, "worker");
        links.advance(time);
        links.workers.heartbeatAnswered(worker, links.now());
    }

    /** A worker has answered a request; {@code probe}: one that was sent to find that out. */
    public void workerRequestAnswered(String worker, boolean probe, long time) {
        requireName(worker, "worker");
        links.advance(time);
        trackProbedWorker(worker, probe);
        links.workers.requestAnswered(worker, probe, links.now());
    }

    /** A worker has not answered a request; {@code probe}: one that was sent to find that out. */
    public void workerRequestFailed(String worker, boolean probe, long time) {
        requireName(worker, "worker");
        links.advance(time);
        trackProbedWorker(worker, probe);
        links.workers.requestFailed(worker, probe, links.now());
    }

    /** A follower knows no workers but those that the leader asked it to try; a leader's may be gone by now. */
    private void trackProbedWorker(String worker, boolean probe) {
        if (probe && !links.leading()) {
            links.workers.expected(worker, "", links.now());
        }
    }

    /** A worker is gone for good. */
    public void workerRemoved(String worker, long time) {
        requireName(worker, "worker");
        links.advance(time);
        links.workers.removed(worker);
    }

    /** By how much this process's own timers are late, and whether it counts as behind with its work. */
    public void eventLoopLagMeasured(long late, boolean behind, long time) {
        require(late >= 0, "late", "negative");
        links.advance(time);
        links.eventLoopLagMeasured(late, behind);
    }

    /** This controller leads from now on. */
    public void elected(long newTerm, long time) {
        require(newTerm > 0, "term", "must be above 0");
        links.advance(time);
        leadership.elected(newTerm);
        links.setLeading(true);
        probePlanner.reset();
    }

    /** Who leads in which term, as far as this controller knows; empty: it does not know. */
    public void leaderObserved(long knownTerm, String name, long time) {
        require(knownTerm >= 0, "term", "negative");
        require(name != null, "name", "missing");
        links.advance(time);
        leadership.leaderObserved(knownTerm, name);
    }

    /** This controller does not lead any more; {@code storeLost}: since the state service did not answer it. */
    public void deposed(boolean storeLost, long time) {
        links.advance(time);
        leadership.deposed(storeLost);
        links.setLeading(false);
        probePlanner.reset();
        queuedProbes.clear();
    }

    // ---- views

    /** The milliseconds after which views should be exchanged with every controller again. */
    public long exchangeIntervalMs() {
        boolean many = links.leading() && ProbePlanner.manySuspects(links.workers);
        return config.exchangeIntervalMs(many || leadership.handover().underWay());
    }

    /** What this controller tells another one now. */
    public ReachabilityView viewFor(String peer, long time) {
        PeerLinks.Peer known = links.peers.get(peer);
        links.advance(time);
        links.detectSilentWorkers();
        return viewBuilder.build(
                known,
                new ViewBuilder.Self(incarnation, leadership.term(), leadership.leader()),
                links.health(),
                links.leading() ? probePlanner.currentTargets() : List.of(),
                links.leading() ? leadership.handover().notice() : null,
                leadership.acceptableHandoverId(known, incarnation),
                links.now());
    }

    /** Takes in what another controller says. Old and repeated views change nothing. */
    public void receive(ReachabilityView view, long time) {
        require(view != null, "view", "missing");
        Header header = view.header();
        PeerLinks.Peer peer = links.peers.get(header.sender());
        view.workers().check();
        require(header.incarnation() > 0 && header.sequence() > 0, "view", "impossible numbers");
        require(
                header.ackedIncarnation() != incarnation || header.ackedSequence() <= sentViews.newestSequence(),
                "view",
                "from the future: it has seen a view that was never sent");
        links.advance(time);
        if (header.ackedIncarnation() > incarnation) {
            incarnation = header.ackedIncarnation() + 1; // a former life of this process had a clock that was ahead
        }
        boolean ours = header.ackedIncarnation() == incarnation;
        if (!peer.view.merge(view, ours ? sentViews.sentAt(header.ackedSequence()) : -1)) {
            staleViews++;
            return;
        }
        peer.acknowledge(header, incarnation);
        leadership.observeTerm(header.term());
        if (header.leading() && !links.leading()) {
            view.probes().forEach(this::queueProbe);
        }
        leadership.handoverNoticeReceived(peer, view.handover());
        if (view.acceptedHandoverId() > 0) {
            leadership
                    .handover()
                    .nomineeAccepted(peer.name, header.incarnation(), view.acceptedHandoverId(), links.now());
        }
    }

    /** Whether another controller, which neither lags nor leaves requests unanswered, lately listed a worker. */
    public boolean peerKnowsWorker(String peer, String worker, long time) {
        PeerLinks.Peer known = links.peers.get(peer);
        requireName(worker, "worker");
        links.advance(time);
        return links.peers.fresh(known, links.now())
                && !known.view.senderHealth().lagging()
                && known.outbound.consecutiveFailures() == 0
                && known.view.names(worker);
    }

    /** Whether another controller lately said that its requests do not reach a worker. */
    public boolean peerCannotReachWorker(String peer, String worker, long time) {
        PeerLinks.Peer known = links.peers.get(peer);
        return peerKnowsWorker(peer, worker, time) && known.view.outboundKnown(worker) && !known.view.reaches(worker);
    }

    /** Whether requests to another controller have been in vain for long, though it did not say that it is behind. */
    public boolean peerUnreachable(String peer, long time) {
        PeerLinks.Peer known = links.peers.get(peer);
        links.advance(time);
        boolean behind =
                known.view.senderHealth() != null && known.view.senderHealth().lagging();
        return !behind
                && known.outbound.consecutiveFailures() >= MAX_PEER_FAILURES
                && known.outbound.condition(links.now(), links.eventLoopLagMs()) == LinkCondition.FAILING;
    }

    /** Who leads in this term or a later one, as another controller lately said; empty: nobody did. */
    public String leaderReportedByPeers(long leastTerm, long time) {
        links.advance(time);
        return links.peers.reportedLeader(leastTerm, links.now());
    }

    /** Whether another controller, as far as its last words go, is handing over the leadership or has just done so. */
    public boolean peerHandsOver(String peer, long time) {
        PeerLinks.Peer known = links.peers.get(peer);
        links.advance(time);
        return leadership.peerHandsOver(known);
    }

    // ---- probes

    private void queueProbe(ProbeTarget target) {
        if (queuedProbes.size() < MAX_QUEUED_PROBES || queuedProbes.containsKey(target.worker())) {
            queuedProbes.put(target.worker(), target);
        }
    }

    /** The workers to be asked now whether requests reach them, at most so many; their outcomes are to be told. */
    public List<ProbeTarget> takeDueProbes(int most, long time) {
        require(most >= 0, "most", "negative");
        links.advance(time);
        if (links.leading()) {
            // what is not suspect here needs no question, nor do single suspects, whose reports and commands tell
            // enough
            boolean many = ProbePlanner.manySuspects(links.workers);
            for (WorkerLink link : probePlanner.planRound(links.workers, links.now())) {
                if (many && link.suspect()) {
                    ProbePlanner.targets(List.of(link)).forEach(this::queueProbe);
                }
            }
        }
        List<ProbeTarget> next = new ArrayList<>();
        queuedProbes.values().stream().limit(most).forEach(next::add);
        next.forEach(target -> queuedProbes.remove(target.worker()));
        return next;
    }

    // ---- decisions

    /** What this controller should do about the leadership. */
    public LeadershipAdvice advise(long time) {
        links.advance(time);
        links.detectSilentWorkers();
        return leadership.advise();
    }

    /** For how long this controller should leave a free leadership to others, in milliseconds. */
    public long electionDelayMs(long time) {
        links.advance(time);
        return leadership.electionDelayMs();
    }

    /** Whether a decision may be made, as far as links are concerned. */
    public Verdict permits(Decision decision, long time) {
        require(decision != null, "decision", "missing");
        links.advance(time);
        links.detectSilentWorkers();
        return countWithheld(gate.check(decision, links.evidence(handingOver())));
    }

    /** Whether a silent worker may be given up, as far as links are concerned. */
    public Verdict permitsRemovingWorker(String worker, long time) {
        requireName(worker, "worker");
        links.advance(time);
        links.detectSilentWorkers();
        Verdict verdict = gate.check(Decision.REMOVE_WORKER, links.evidence(handingOver()));
        WorkerLink link = links.workers.find(worker);
        if (!verdict.allowed() || link == null || !link.suspect()) {
            return countWithheld(verdict);
        }
        long now = links.now();
        boolean reached = links.peers.anyReaches(worker, now);
        if (reached && link.keptSince < 0) {
            link.keptSince = now;
        }
        long keptMs = link.keptSince < 0 ? 0 : now - link.keptSince;
        boolean saysNothing = links.peers.anyUnsureOf(worker, now);
        return countWithheld(gate.checkRemoval(now - link.suspectSince, reached, saysNothing, keptMs));
    }

    private Verdict countWithheld(Verdict verdict) {
        withheldDecisions += verdict.allowed() ? 0 : 1;
        return verdict;
    }

    // ---- handing over

    /** Begins to hand over to another controller; false: that is not possible now. No decision is made from here. */
    public boolean beginHandover(String nominee, long time) {
        PeerLinks.Peer peer = links.peers.get(nominee);
        links.advance(time);
        return leadership.beginHandover(peer);
    }

    /** Whether a handover is under way, so that no decision is made. */
    public boolean handingOver() {
        return leadership.handover().underWay();
    }

    /** What has to be done next in a handover; {@code changesInFlight}: what the state service has not answered yet. */
    public HandoverAction advanceHandover(int changesInFlight, long time) {
        require(changesInFlight >= 0, "changesInFlight", "negative");
        links.advance(time);
        return leadership.advanceHandover(changesInFlight);
    }

    /** This controller has released the leadership, and leaves it to others for a while. */
    public void leadershipReleased(long time) {
        links.advance(time);
        leadership.leadershipReleased();
    }

    // ---- for people

    /** All that is known now. */
    public ConnectivitySnapshot snapshot(long time) {
        links.advance(time);
        links.detectSilentWorkers();
        return SnapshotBuilder.build(links, leadership, withheldDecisions, staleViews);
    }
}
