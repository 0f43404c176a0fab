package stileferry.connectivity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import stileferry.connectivity.ReachabilityView.ControllerHealth;
import stileferry.connectivity.ReachabilityView.HandoverNotice;

/** What follows from the links for the leadership: staying, handing over, standing for it or leaving it to others. */
final class LeadershipControl {
    /** Report intervals after which a new leader has heard all workers that can reach it. */
    private static final double SETTLING_HEARTBEATS = 2.5;

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
    private long leadershipReleased;
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

    /** Who leads, as far as this controller knows; empty: it does not know. */
    String leader() {
        return links.leading() ? config.self() : leader;
    }

    Handover handover() {
        return handover;
    }

    void observeTerm(long heard) {
        term = Math.max(term, heard);
    }

    void leaderObserved(long knownTerm, String name) {
        observeTerm(knownTerm);
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

    /** This controller does not lead any more. */
    void deposed(boolean storeLost) {
        if (links.leading() && storeLost) {
            electionDelay.leadershipLost(links.now());
        }
        handover.reset();
    }

    // ---- what others intend

    /** Takes in what another controller says about a handover of its own. */
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

    /** The number of another controller's handover that this one is ready for; 0: none. */
    long acceptableHandoverId(PeerLink from, long incarnation) {
        HandoverNotice notice = from.handover;
        boolean ready = notice != null
                && notice.active()
                && !links.leading()
                && notice.nominee().equals(config.self())
                && notice.nomineeIncarnation() == incarnation
                && notice.term() >= term
                && links.storeReachable()
                && !links.laggingLately();
        return ready ? notice.id() : 0;
    }

    /** Whether another controller, as far as its last words go, is handing over or has just done so. */
    boolean peerHandsOver(PeerLink peer) {
        return peer.handover != null && peer.handover.active() && peer.handover.term() >= term;
    }

    // ---- advice

    LeadershipAdvice advise() {
        if (!links.leading()) {
            return electionDelay.remainingMs(links.now()) > 0
                    ? LeadershipAdvice.of(LeadershipAdvice.Action.ABSTAIN, electionDelay.reason())
                    : LeadershipAdvice.of(LeadershipAdvice.Action.STAND, "leads when the leadership is free");
        }
        if (handover.underWay()) {
            return new LeadershipAdvice(
                    LeadershipAdvice.Action.HAND_OVER, handover.notice().nominee(), "a handover is under way");
        }
        boolean settled = links.now() - electedAt >= SETTLING_HEARTBEATS * config.heartbeatIntervalMs();
        if (links.workers.count() == 0 || !settled) {
            return LeadershipAdvice.of(LeadershipAdvice.Action.STAY, "too little is known yet");
        }
        if (links.laggingLately()) {
            advisor.reset();
            return LeadershipAdvice.of(LeadershipAdvice.Action.STAY, "this process is behind, so nothing is certain");
        }
        List<LeaderCandidate> others = new ArrayList<>();
        for (PeerLink peer : links.peers.all()) {
            candidate(peer).ifPresent(others::add);
        }
        boolean peersLost = links.peers.allLost(links.now(), links.eventLoopLagMs());
        return advisor.advise(own(), others, peersLost, links.now());
    }

    /** For how long a free leadership is left to others, in milliseconds. */
    long electionDelayMs() {
        return links.leading() ? 0 : electionDelay.remainingMs(links.now());
    }

    private LeaderCandidate own() {
        ControllerHealth standing = links.health();
        return new LeaderCandidate(
                config.self(),
                standing.storeReachable(),
                ownShare(),
                standing.lagging(),
                standing.reachablePeers().size());
    }

    private Optional<LeaderCandidate> candidate(PeerLink peer) {
        boolean eligible = links.peers.fresh(peer, links.now()) && peer.view.term() <= term && !peer.view.leading();
        OptionalDouble share = eligible ? peerShare(peer) : OptionalDouble.empty();
        if (share.isEmpty()) {
            return Optional.empty();
        }
        ControllerHealth standing = peer.view.senderHealth();
        return Optional.of(new LeaderCandidate(
                peer.name,
                standing.storeReachable(),
                share.getAsDouble(),
                standing.lagging(),
                standing.reachablePeers().size()));
    }

    /** The share of workers that this controller reaches. */
    double ownShare() {
        return shares.ownShare(links.now());
    }

    /** The share of workers that another one reaches; empty: it has said too little. */
    OptionalDouble peerShare(PeerLink peer) {
        return shares.peerShare(peer.view);
    }

    // ---- handing over

    boolean beginHandover(PeerLink nominee) {
        boolean possible = links.leading()
                && !handover.underWay()
                && links.peers.fresh(nominee, links.now())
                && rateLimiter.allows(links.now());
        if (possible) {
            handover.begin(term, nominee.name, nominee.view.incarnation(), links.now());
            handoversBegun++;
        }
        return possible;
    }

    HandoverAction advanceHandover(int changesInFlight) {
        if (!handover.underWay()) {
            return HandoverAction.NONE;
        }
        PeerLink nominee = links.peers.get(handover.notice().nominee());
        boolean good = links.peers.fresh(nominee, links.now())
                && nominee.view.incarnation() == handover.notice().nomineeIncarnation()
                && nominee.view.senderHealth().storeReachable();
        HandoverAction action = handover.advance(changesInFlight, good, links.now());
        if (action == HandoverAction.ABORTED) {
            handoversAborted++;
            rateLimiter.consume(links.now()); // decisions were withheld meanwhile, which has the same bound
        }
        return action;
    }

    void leadershipReleased() {
        leadershipReleased++;
        rateLimiter.consume(links.now());
        electionDelay.deferToOthers("this controller has released the leadership", links.now());
    }

    long handoversBegun() {
        return handoversBegun;
    }

    long releases() {
        return leadershipReleased;
    }

    long handoversAborted() {
        return handoversAborted;
    }
}
