package stileferry.connectivity;

import java.util.List;
import java.util.Optional;

/**
 * Advises a leader whether to keep the leadership. So that an intermittent link does not make the leadership flap,
 * there is hysteresis in three parts: a margin, a time for which the same controller must be better, and a rate limit.
 */
final class LeadershipAdvisor {
    /** Short exchange intervals for which the same controller must be clearly better. */
    private static final int CONFIRMATION_EXCHANGE_INTERVALS = 2;

    /** A leader that reaches no other controller and less than this share of workers is isolated and steps down. */
    private static final double ISOLATED_MAX_WORKER_SHARE = 0.5;

    /** Represents the nominee if the leader should step down without one; it is not a valid controller name. */
    private static final String STEP_DOWN_WITHOUT_NOMINEE = "\0";

    private static final String NO_CHANGE = "";

    private final ConnectivityConfig config;
    private final HandoverRateLimiter rateLimiter;
    private String nominee = NO_CHANGE;
    private long nomineeSince;

    LeadershipAdvisor(ConnectivityConfig config, HandoverRateLimiter rateLimiter) {
        this.config = config;
        this.rateLimiter = rateLimiter;
    }

    /**
     * Returns what a leader should do.
     *
     * @param own this controller as a candidate
     * @param peers the other controllers that are eligible as candidates
     * @param allPeersLost whether other controllers were reachable before and none is now
     */
    LeadershipAdvice advise(LeaderCandidate own, List<LeaderCandidate> peers, boolean allPeersLost, long now) {
        Optional<LeaderCandidate> best =
                peers.stream().filter(peer -> peer.clearlyBetterThan(own)).max(LeaderCandidate::compareTo);
        boolean isolated = allPeersLost && peers.isEmpty() && own.workerShare() < ISOLATED_MAX_WORKER_SHARE;
        observeNominee(
                best.map(LeaderCandidate::controller).orElse(isolated ? STEP_DOWN_WITHOUT_NOMINEE : NO_CHANGE), now);
        if (nominee.equals(NO_CHANGE)) {
            return stay("nobody is clearly better");
        }
        if (now - nomineeSince < CONFIRMATION_EXCHANGE_INTERVALS * config.exchangeIntervalMs(true)) {
            return stay("not yet confirmed");
        }
        if (!rateLimiter.allows(now)) {
            return stay("leadership has changed too often lately");
        }
        return best.map(candidate -> handOver(own, candidate))
                .orElse(LeadershipAdvice.of(
                        LeadershipAdvice.Action.STEP_DOWN, "no controller and few workers are heard"));
    }

    private void observeNominee(String current, long now) {
        if (!current.equals(nominee)) {
            nominee = current;
            nomineeSince = now;
        }
    }

    private static LeadershipAdvice stay(String reason) {
        return LeadershipAdvice.of(LeadershipAdvice.Action.STAY, reason);
    }

    private static LeadershipAdvice handOver(LeaderCandidate own, LeaderCandidate best) {
        String reason = best.controller() + " reaches " + percent(best.workerShare()) + " of the workers, "
                + own.controller() + " " + percent(own.workerShare());
        return new LeadershipAdvice(LeadershipAdvice.Action.HAND_OVER, best.controller(), reason);
    }

    private static String percent(double share) {
        return Math.round(100 * share) + "%";
    }

    /** Forgets the current nominee, so that confirmation starts again. */
    void reset() {
        nominee = NO_CHANGE;
    }
}
