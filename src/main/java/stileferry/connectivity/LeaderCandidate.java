package stileferry.connectivity;

import java.util.Comparator;
import stileferry.connectivity.ReachabilityView.ControllerHealth;
import stileferry.validation.InvalidInputException;

/**
 * A controller as a candidate for the leadership. The order is total: the reachability of the state service first, then
 * the share of workers, event-loop lag, the number of reachable controllers, and at last the name.
 *
 * @param controller its name
 * @param storeReachable whether the state service answers it
 * @param workerShare the share of workers that it reaches, from 0 to 1
 * @param lagging whether its event loop lags
 * @param reachablePeers how many other controllers it reaches or is reached by
 */
public record LeaderCandidate(
        String controller, boolean storeReachable, double workerShare, boolean lagging, int reachablePeers)
        implements Comparable<LeaderCandidate> {
    /** The margin of the hysteresis, as a share of all workers. */
    static final double MIN_ADVANTAGE_SHARE = 0.25;

    private static final Comparator<LeaderCandidate> ORDER = Comparator.comparing(LeaderCandidate::storeReachable)
            .thenComparingDouble(LeaderCandidate::workerShare)
            .thenComparing(LeaderCandidate::lagging, Comparator.reverseOrder())
            .thenComparingInt(LeaderCandidate::reachablePeers)
            .thenComparing(LeaderCandidate::controller, Comparator.reverseOrder());

    /** Checks the share. */
    public LeaderCandidate {
        InvalidInputException.requireName(controller, "controller");
        InvalidInputException.require(workerShare >= 0 && workerShare <= 1, "workerShare", "not from 0 to 1");
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

    /** Whether leadership should go here from another controller: only where that is worth the change. */
    public boolean clearlyBetterThan(LeaderCandidate other) {
        return storeReachable && !lagging && workerShare >= other.workerShare + MIN_ADVANTAGE_SHARE;
    }
}
