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
    private static final double SETTLED_REPORTS = 2.5;

    private final ObservedLinks links;
    private final ConnectivityConfig config;
    private final ShareEstimator shares;
    private final HandoverBudget budget;
    private final LeadershipAdvisor advisor;
    private final Handover handover;
    private final StandingDelay standingDelay;
    private long term;
    private String leader = "";
    private long leadingSince;
    private long handoversBegun;
    private long released;
    private long givenUp;

    LeadershipControl(ObservedLinks links, ProbePlanner planner) {
        this.links = links;
        config = links.config;
        shares = new ShareEstimator(config, links.workers, planner);
        budget = new HandoverBudget(2 * config.workerLeaseMs(), links.now());
        advisor = new LeadershipAdvisor(config, budget);
        handover = new Handover(config);
        standingDelay = new StandingDelay(config, links.now());
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

    void learnTerm(long heard) {
        term = Math.max(term, heard);
    }

    void leaderKnown(long knownTerm, String name) {
        learnTerm(knownTerm);
        leader = name;
    }

    /** This controller leads from now on. */
    void leads(long newTerm) {
        learnTerm(newTerm);
        leadingSince = links.now();
        handover.reset();
        advisor.reset();
        standingDelay.cancel();
    }

    /** This controller does not lead any more. */
    void follows(boolean storeLost) {
        if (links.leading() && storeLost) {
            standingDelay.lostByOwnLinks(links.now());
        }
        handover.reset();
    }

    // ---- what others intend

    /** Takes in what another controller says about a handover of its own. */
    void hear(Peers.Peer peer, HandoverNotice notice) {
        HandoverNotice before = peer.handover;
        peer.handover = notice;
        if (notice == null || links.leading() || notice.equals(before)) {
            return;
        }
        if (!notice.active()) {
            standingDelay.cancel();
        } else if (notice.term() >= term) {
            budget.spend(links.now());
            if (notice.nominee().equals(config.self())) {
                standingDelay.cancel();
            } else {
                standingDelay.leaveToOthers(peer.name + " hands over to " + notice.nominee(), links.now());
            }
        }
    }

    /** The number of another controller's handover that this one is ready for; 0: none. */
    long acceptable(Peers.Peer from, long incarnation) {
        HandoverNotice notice = from.handover;
        boolean ready = notice != null
                && notice.active()
                && !links.leading()
                && notice.nominee().equals(config.self())
                && notice.nomineeIncarnation() == incarnation
                && notice.term() >= term
                && links.storeGood()
                && !links.busy();
        return ready ? notice.id() : 0;
    }

    /** Whether another controller, as far as its last words go, is handing over or has just done so. */
    boolean handsOver(Peers.Peer peer) {
        return peer.handover != null && peer.handover.active() && peer.handover.term() >= term;
    }

    // ---- advice

    LeadershipAdvice advise() {
        if (!links.leading()) {
            return standingDelay.remainingMs(links.now()) > 0
                    ? LeadershipAdvice.of(LeadershipAdvice.Action.ABSTAIN, standingDelay.reason())
                    : LeadershipAdvice.of(LeadershipAdvice.Action.STAND, "leads when the leadership is free");
        }
        if (handover.underWay()) {
            return new LeadershipAdvice(
                    LeadershipAdvice.Action.HAND_OVER, handover.notice().nominee(), "a handover is under way");
        }
        boolean settled = links.now() - leadingSince >= SETTLED_REPORTS * config.heartbeatIntervalMs();
        if (links.workers.count() == 0 || !settled) {
            return LeadershipAdvice.of(LeadershipAdvice.Action.STAY, "too little is known yet");
        }
        if (links.busy()) {
            advisor.reset();
            return LeadershipAdvice.of(LeadershipAdvice.Action.STAY, "this process is behind, so nothing is certain");
        }
        List<LeaderCandidate> others = new ArrayList<>();
        for (Peers.Peer peer : links.peers.all()) {
            suitability(peer).ifPresent(others::add);
        }
        boolean peersLost = links.peers.lost(links.now(), links.lateMs());
        return advisor.advise(own(), others, peersLost, links.now());
    }

    /** For how long a free leadership is left to others, in milliseconds. */
    long abstainMs() {
        return links.leading() ? 0 : standingDelay.remainingMs(links.now());
    }

    private LeaderCandidate own() {
        ControllerHealth standing = links.standing();
        return new LeaderCandidate(
                config.self(),
                standing.storeReachable(),
                ownShare(),
                standing.lagging(),
                standing.reachablePeers().size());
    }

    private Optional<LeaderCandidate> suitability(Peers.Peer peer) {
        boolean eligible = links.peers.fresh(peer, links.now()) && peer.view.term() <= term && !peer.view.leading();
        OptionalDouble share = eligible ? share(peer) : OptionalDouble.empty();
        if (share.isEmpty()) {
            return Optional.empty();
        }
        ControllerHealth standing = peer.view.standing();
        return Optional.of(new LeaderCandidate(
                peer.name,
                standing.storeReachable(),
                share.getAsDouble(),
                standing.lagging(),
                standing.reachablePeers().size()));
    }

    /** The share of workers that this controller reaches. */
    double ownShare() {
        return shares.own(links.now());
    }

    /** The share of workers that another one reaches; empty: it has said too little. */
    OptionalDouble share(Peers.Peer peer) {
        return shares.of(peer.view);
    }

    // ---- handing over

    boolean beginHandover(Peers.Peer nominee) {
        boolean possible = links.leading()
                && !handover.underWay()
                && links.peers.fresh(nominee, links.now())
                && budget.allows(links.now());
        if (possible) {
            handover.begin(term, nominee.name, nominee.view.incarnation(), links.now());
            handoversBegun++;
        }
        return possible;
    }

    HandoverAction nextInHandover(int changesInFlight) {
        if (!handover.underWay()) {
            return HandoverAction.NONE;
        }
        Peers.Peer nominee = links.peers.get(handover.notice().nominee());
        boolean good = links.peers.fresh(nominee, links.now())
                && nominee.view.incarnation() == handover.notice().nomineeIncarnation()
                && nominee.view.standing().storeReachable();
        HandoverAction action = handover.next(changesInFlight, good, links.now());
        if (action == HandoverAction.ABORTED) {
            givenUp++;
            budget.spend(links.now()); // decisions were withheld meanwhile, which has the same bound
        }
        return action;
    }

    void released() {
        released++;
        budget.spend(links.now());
        standingDelay.leaveToOthers("this controller has released the leadership", links.now());
    }

    long handoversBegun() {
        return handoversBegun;
    }

    long releasedCount() {
        return released;
    }

    long givenUpCount() {
        return givenUp;
    }
}
