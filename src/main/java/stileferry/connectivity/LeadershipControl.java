package stileferry.connectivity;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import stileferry.connectivity.ReachabilityView.HandoverNotice;

/** Decides from the state of the links whether to keep the leadership, hand it over, or delay a candidacy. */
final class LeadershipControl {
    /** Heartbeat intervals after an election within which all workers that reach the new leader send it a heartbeat. */
    private static final double WARM_UP_HEARTBEAT_INTERVALS = 2.5;

    private final ObservedLinks links;
    private final ConnectivityConfig config;
    private final ReachableShareEstimator shares;
    private final HandoverRateLimiter rateLimiter;
    private final LeadershipAdvisor advisor;
    private final Handover handover;
    private final ElectionDelay electionDelay;
    private long term;
    private String leader = "";
    private long electedAt;
    private long handoversBegun;
    private long releases;
    private long handoversAborted;

    LeadershipControl(ObservedLinks links, ProbePlanner planner) {
        this.links = links;
        config = links.config;
        shares = new ReachableShareEstimator(config, links.workers, planner);
        rateLimiter = new HandoverRateLimiter(2 * config.workerLeaseMs(), links.now());
        advisor = new LeadershipAdvisor(config, rateLimiter);
        handover = new Handover(config);
        electionDelay = new ElectionDelay(config, links.now());
    }

    long term() {
        return term;
    }

    /** Returns the leader as far as this controller knows, or an empty string if it does not. */
    String leader() {
        return links.leading() ? config.self() : leader;
    }

    Handover handover() {
        return handover;
    }

    void observeTerm(long observed) {
        term = Math.max(term, observed);
    }

    void leaderObserved(long observedTerm, String name) {
        observeTerm(observedTerm);
        leader = name;
    }

    /** Records that this controller leads from now on. */
    void elected(long newTerm) {
        observeTerm(newTerm);
        electedAt = links.now();
        handover.reset();
        advisor.reset();
        electionDelay.cancel();
    }

    /**
     * Records that this controller no longer leads.
     *
     * @param storeLost whether it lost the leadership because the key-value store did not respond
     */
    void deposed(boolean storeLost) {
        if (links.leading() && storeLost) {
            electionDelay.leadershipLost(links.now());
        }
        handover.reset();
    }

    // ---- handovers of other controllers

    /** Processes the handover notice in another controller's view, which is null if there is none. */
    void handoverNoticeReceived(PeerLink peer, HandoverNotice notice) {
        HandoverNotice previous = peer.handover;
        peer.handover = notice;
        if (notice == null || links.leading() || notice.equals(previous)) {
            return;
        }
        if (!notice.active()) {
            electionDelay.cancel();
        } else if (notice.term() >= term) {
            rateLimiter.consume(links.now());
            if (notice.nominee().equals(config.self())) {
                electionDelay.cancel();
            } else {
                electionDelay.deferToOthers(peer.name + " hands over to " + notice.nominee(), links.now());
            }
        }
    }

    /**
     * Returns the id of another controller's handover that this controller accepts as its nominee, or 0 if there is
     * none.
     */
    long acceptableHandoverId(PeerLink from, long incarnation) {
        HandoverNotice notice = from.handover;
        boolean ready = notice != null
                && notice.active()
                && !links.leading()
                && notice.nominee().equals(config.self())
                && notice.nomineeIncarnation() == incarnation
                && notice.term() >= term
                && links.storeReachable()
                && !links.recentlyLagging();
        return ready ? notice.id() : 0;
    }

    /** Returns whether another controller, by its last view, is handing over the leadership or has just done so. */
    boolean peerHandsOver(PeerLink peer) {
        return peer.handover != null && peer.handover.active() && peer.handover.term() >= term;
    }

    // ---- advice

    LeadershipAdvice advise() {
        return links.leading() ? adviseLeader() : adviseFollower();
    }

    private LeadershipAdvice adviseFollower() {
        return electionDelay.remainingMs(links.now()) > 0
                ? LeadershipAdvice.of(LeadershipAdvice.Action.ABSTAIN, electionDelay.reason())
                : LeadershipAdvice.of(LeadershipAdvice.Action.STAND, "leads when the leadership is free");
    }

    private LeadershipAdvice adviseLeader() {
        if (handover.inProgress()) {
            return new LeadershipAdvice(
                    LeadershipAdvice.Action.HAND_OVER, handover.notice().nominee(), "a handover is under way");
        }
        boolean warmedUp = links.now() - electedAt >= WARM_UP_HEARTBEAT_INTERVALS * config.heartbeatIntervalMs();
        if (links.workers.count() == 0 || !warmedUp) {
            return LeadershipAdvice.of(LeadershipAdvice.Action.STAY, "too little is known yet");
        }
        if (links.recentlyLagging()) {
            advisor.reset();
            return LeadershipAdvice.of(LeadershipAdvice.Action.STAY, "this process is behind, so nothing is certain");
        }
        LeaderCandidate own = LeaderCandidate.of(config.self(), links.health(), ownShare());
        List<LeaderCandidate> others = links.peers.all().stream()
                .flatMap(peer -> candidate(peer).stream())
                .toList();
        boolean allPeersLost = links.peers.allLost(links.now(), links.eventLoopLagMs());
        return advisor.advise(own, others, allPeersLost, links.now());
    }

    /** Returns for how many more milliseconds this controller should not become a candidate, or 0 if it leads. */
    long electionDelayMs() {
        return links.leading() ? 0 : electionDelay.remainingMs(links.now());
    }

    /**
     * Returns another controller as a candidate, or empty if its view is stale, names a higher term, or claims the
     * leadership, or if too few of the probed workers are known in it.
     */
    private Optional<LeaderCandidate> candidate(PeerLink peer) {
        boolean eligible = links.peers.fresh(peer, links.now()) && peer.view.term() <= term && !peer.view.leading();
        OptionalDouble share = eligible ? peerShare(peer) : OptionalDouble.empty();
        return share.isEmpty()
                ? Optional.empty()
                : Optional.of(LeaderCandidate.of(peer.name, peer.view.senderHealth(), share.getAsDouble()));
    }

    /** Returns the estimated share of workers that this controller reaches, from 0 to 1. */
    double ownShare() {
        return shares.ownShare(links.now());
    }

    /** Returns the estimated share of workers that another controller reaches, or empty if too little is known. */
    OptionalDouble peerShare(PeerLink peer) {
        return shares.peerShare(peer.view);
    }

    // ---- handover of this controller

    /** Starts a handover; returns false if it is not possible now. */
    boolean beginHandover(PeerLink nominee) {
        boolean possible = links.leading()
                && !handover.inProgress()
                && links.peers.fresh(nominee, links.now())
                && rateLimiter.allows(links.now());
        if (possible) {
            handover.begin(term, nominee.name, nominee.view.incarnation(), links.now());
            handoversBegun++;
        }
        return possible;
    }

    HandoverAction advanceHandover(int changesInFlight) {
        if (!handover.inProgress()) {
            return HandoverAction.NONE;
        }
        PeerLink nominee = links.peers.get(handover.notice().nominee());
        boolean ready = links.peers.fresh(nominee, links.now())
                && nominee.view.incarnation() == handover.notice().nomineeIncarnation()
                && nominee.view.senderHealth().storeReachable();
        HandoverAction action = handover.advance(changesInFlight, ready, links.now());
        if (action == HandoverAction.ABORTED) {
            handoversAborted++;
            rateLimiter.consume(links.now()); // an aborted handover also withheld decisions, so it shares the limit
        }
        return action;
    }

    void leadershipReleased() {
        releases++;
        rateLimiter.consume(links.now());
        electionDelay.deferToOthers("this controller has released the leadership", links.now());
    }

    long handoversBegun() {
        return handoversBegun;
    }

    /** Returns the number of deliberate releases of the leadership. */
    long releases() {
        return releases;
    }

    long handoversAborted() {
        return handoversAborted;
    }
}
