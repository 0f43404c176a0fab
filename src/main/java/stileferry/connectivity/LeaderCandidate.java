package stileferry.connectivity;

import java.util.Comparator;
import stileferry.validation.InvalidInputException;

/**
 * How well a controller could lead. The order is total: the state service first, then the workers that it reaches, then
 * whether it has time, then the controllers that it hears, and at last its name.
 *
 * @param controller its name
 * @param storeGood whether the state service answers it
 * @param workerShare the share of workers that it reaches, from 0 to 1
 * @param busy whether it is behind with its work
 * @param peersHeard how many other controllers it hears
 */
public record LeaderCandidate(String controller, boolean storeGood, double workerShare, boolean busy, int peersHeard)
        implements Comparable<LeaderCandidate> {
    /** One controller is clearly better where it reaches so much more of all workers. */
    static final double MIN_ADVANTAGE = 0.25;

    private static final Comparator<LeaderCandidate> ORDER = Comparator.comparing(LeaderCandidate::storeGood)
            .thenComparingDouble(LeaderCandidate::workerShare)
            .thenComparing(LeaderCandidate::busy, Comparator.reverseOrder())
            .thenComparingInt(LeaderCandidate::peersHeard)
            .thenComparing(LeaderCandidate::controller, Comparator.reverseOrder());

    /** Checks the share. */
    public LeaderCandidate {
        InvalidInputException.requireName(controller, "controller");
        InvalidInputException.require(workerShare >= 0 && workerShare <= 1, "workerShare", "not from 0 to 1");
        InvalidInputException.require(peersHeard >= 0, "peersHeard", "negative");
    }

    @Override
    public int compareTo(LeaderCandidate other) {
        return ORDER.compare(this, other);
    }

    /** Whether leadership should go here from another controller: only where that is worth the change. */
    public boolean clearlyBetterThan(LeaderCandidate other) {
        return storeGood && !busy && workerShare >= other.workerShare + MIN_ADVANTAGE;
    }
}
