package stileferry.admission;

import java.util.Comparator;
import stileferry.validation.InvalidInputException;

/**
 * All jobs that one team submits in one job class at one priority: the unit for which demand is estimated and fair
 * shares are computed. Ordered by priority tier, the most urgent first, then by team and job class.
 *
 * @param team the team's name
 * @param jobClass the class of the jobs, or {@link AdmissionConfig#OTHER_CLASSES} for those that are not distinguished
 * @param priorityTier the priority tier, from 0 for the most urgent
 */
public record Flow(String team, String jobClass, int priorityTier) implements Comparable<Flow> {
    private static final Comparator<Flow> ORDER = Comparator.comparingInt(Flow::priorityTier)
            .thenComparing(Flow::team)
            .thenComparing(Flow::jobClass);

    /** Rejects missing names and a negative tier. */
    public Flow {
        InvalidInputException.require(team != null && !team.isEmpty(), "team", "missing or empty");
        InvalidInputException.require(jobClass != null, "jobClass", "missing");
        InvalidInputException.require(priorityTier >= 0, "priorityTier", "must not be negative: " + priorityTier);
    }

    @Override
    public int compareTo(Flow other) {
        return ORDER.compare(this, other);
    }
}
