package stileferry.connectivity;

import java.util.List;

/**
 * Says whether the leader should stay. Who is clearly better must have been so for a while, always the same one, and
 * the bound on handovers holds on top of that, so that a link that comes and goes can't make leadership wander.
 */
final class LeadershipAdvisor {
    /** Exchange intervals for which somebody must have been clearly better. */
    private static final int CONFIRM_EXCHANGES = 2;

    /** A leader with less than this share of workers, which hears no controller, may be the one that is cut off. */
    private static final double CUT_OFF_SHARE = 0.5;

    private final ConnectivityConfig config;
    private final HandoverRateLimiter budget;
    private String candidate = "";
    private long candidateSince;

    /** Stands for the candidate where the leadership would be released to nobody in particular. */
    private static final String NOBODY = "\0";

    LeadershipAdvisor(ConnectivityConfig config, HandoverRateLimiter budget) {
        this.config = config;
        this.budget = budget;
    }

    /**
     * What a leader should do.
     *
     * @param own how well it could lead
     * @param peers how well the others could, as far as that is known and recent
     * @param peersLost whether other controllers were heard before and none is now
     */
    LeadershipAdvice advise(LeaderCandidate own, List<LeaderCandidate> peers, boolean peersLost, long now) {
        LeaderCandidate best = null;
        for (LeaderCandidate peer : peers) {
            if (peer.clearlyBetterThan(own) && (best == null || peer.compareTo(best) > 0)) {
                best = peer;
            }
        }
        boolean cutOff = peersLost && peers.isEmpty() && own.workerShare() < CUT_OFF_SHARE;
        String wanted = best != null ? best.controller() : cutOff ? NOBODY : "";
        if (!wanted.equals(candidate)) {
            candidate = wanted;
            candidateSince = now;
        }
        if (wanted.isEmpty()) {
            return LeadershipAdvice.of(LeadershipAdvice.Action.STAY, "nobody is clearly better");
        }
        if (now - candidateSince < CONFIRM_EXCHANGES * config.exchangeIntervalMs(true)) {
            return LeadershipAdvice.of(LeadershipAdvice.Action.STAY, "not yet confirmed");
        }
        if (!budget.allows(now)) {
            return LeadershipAdvice.of(LeadershipAdvice.Action.STAY, "leadership has changed too often lately");
        }
        if (best == null) {
            return LeadershipAdvice.of(LeadershipAdvice.Action.STEP_DOWN, "no controller and few workers are heard");
        }
        return new LeadershipAdvice(LeadershipAdvice.Action.HAND_OVER, best.controller(), reason(own, best));
    }

    private static String reason(LeaderCandidate own, LeaderCandidate best) {
        return best.controller() + " reaches " + percent(best.workerShare()) + " of the workers, " + own.controller()
                + " " + percent(own.workerShare());
    }

    private static String percent(double share) {
        return Math.round(100 * share) + "%";
    }

    /** Forgets who was better. */
    void reset() {
        candidate = "";
    }
}
