package stileferry.connectivity;

import java.util.Comparator;
import stileferry.connectivity.ReachabilityView.ControllerHealth;
import stileferry.validation.InvalidInputException;

/**
 * A controller as a candidate for the leadership, with a total order in which a better candidate is greater. Candidates
 * are compared by the reachability of the key-value store, the share of workers, event-loop lag, the number of
 * reachable controllers, and finally the name.
 *
 * @param controller its name
 * @param storeReachable whether the key-value store responds to it
 * @param workerShare the share of workers that it reaches, from 0 to 1
 * @param lagging whether its event loop lags
 * @param reachablePeers number of other controllers whose messages or responses it receives
 */
public record LeaderCandidate(
        String controller, boolean storeReachable, double workerShare, boolean lagging, int reachablePeers)
        implements Comparable<LeaderCandidate> {
    /** The advantage that justifies a handover, as a share of all workers; the margin of the hysteresis. */
    static final double MIN_ADVANTAGE_SHARE = 0.25;

    private static final Comparator<LeaderCandidate> ORDER = Comparator.comparing(LeaderCandidate::storeReachable)
            .thenComparingDouble(LeaderCandidate::workerShare)
            .thenComparing(LeaderCandidate::lagging, Comparator.reverseOrder())
            .thenComparingInt(LeaderCandidate::reachablePeers)
            .thenComparing(LeaderCandidate::controller, Comparator.reverseOrder());

    /** Validates the name, that the share is from 0 to 1, and that the number of peers is not negative. */
    public LeaderCandidate {
        InvalidInputException.requireNonEmptyName(controller, "controller");
        InvalidInputException.require(workerShare >= 0 && workerShare <= 1, "workerShare", "must be from 0 to 1");
        InvalidInputException.require(reachablePeers >= 0, "reachablePeers", "negative");
    }

    static LeaderCandidate of(String controller, ControllerHealth health, double workerShare) {
        return new LeaderCandidate(
                controller,
                health.storeReachable(),
                workerShare,
                health.lagging(),
                health.reachablePeers().size());
    }

    @Override
    public int compareTo(LeaderCandidate other) {
        return ORDER.compare(this, other);
    }

    /** Returns whether this candidate is so much better than another that a change of leader is worthwhile. */
    public boolean clearlyBetterThan(LeaderCandidate other) {
        return storeReachable && !lagging && workerShare >= other.workerShare + MIN_ADVANTAGE_SHARE;
    }
}
