package stileferry.connectivity;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import stileferry.connectivity.ReachabilityView.HandoverNotice;

/** What follows from the links for the leadership: keeping it, handing it over, or delaying a candidacy. */
final class LeadershipControl {
    /** Heartbeat intervals within which all workers that can reach a new leader have sent it a heartbeat. */
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

    /** Who leads, as far as this controller knows; empty: not known. */
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

    /** This controller leads from now on. */
    void elected(long newTerm) {
        observeTerm(newTerm);
        electedAt = links.now();
        handover.reset();
        advisor.reset();
        electionDelay.cancel();
    }

    /** This controller no longer leads; {@code storeLost}: because the state service did not answer it. */
    void deposed(boolean storeLost) {
        if (links.leading() && storeLost) {
            electionDelay.leadershipLost(links.now());
        }
        handover.reset();
    }

    // ---- handovers of other controllers

    /** Takes in the handover notice of another controller's view; null: there is none. */
    void handoverNoticeReceived(PeerLink peer, HandoverNotice notice) {
        HandoverNotice before = peer.handover;
        peer.handover = notice;
        if (notice == null || links.leading() || notice.equals(before)) {
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

    /** The id of another controller's handover that this controller, as its nominee, is ready for; 0: none. */
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

    /** Whether another controller, by its last view, is handing over the leadership or has just done so. */
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
        boolean settled = links.now() - electedAt >= WARM_UP_HEARTBEAT_INTERVALS * config.heartbeatIntervalMs();
        if (links.workers.count() == 0 || !settled) {
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

    /** For how many milliseconds this controller should not become a candidate. */
    long electionDelayMs() {
        return links.leading() ? 0 : electionDelay.remainingMs(links.now());
    }

    /** Another controller as a candidate; empty: it leads, or too little is known of it. */
    private Optional<LeaderCandidate> candidate(PeerLink peer) {
        boolean eligible = links.peers.fresh(peer, links.now()) && peer.view.term() <= term && !peer.view.leading();
        OptionalDouble share = eligible ? peerShare(peer) : OptionalDouble.empty();
        return share.isEmpty()
                ? Optional.empty()
                : Optional.of(LeaderCandidate.of(peer.name, peer.view.senderHealth(), share.getAsDouble()));
    }

    /** The share of workers that this controller reaches. */
    double ownShare() {
        return shares.ownShare(links.now());
    }

    /** The share of workers that another controller reaches; empty: too little is known. */
    OptionalDouble peerShare(PeerLink peer) {
        return shares.peerShare(peer.view);
    }

    // ---- handover of this controller

    /** Starts a handover; false: not possible now. */
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
            rateLimiter.consume(links.now()); // it withheld decisions, which has the same bound as releases
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

    /** Deliberate releases of the leadership. */
    long releases() {
        return releases;
    }

    long handoversAborted() {
        return handoversAborted;
    }
}
