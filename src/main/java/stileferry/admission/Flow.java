package stileferry.admission;

import java.util.Comparator;
import stileferry.validation.InvalidInputException;

/**
 * The jobs of one class that one team submits at one priority: what demand, shares and turns are kept for.
 *
 * @param team the team's name
 * @param jobClass the class of the jobs; {@link AdmissionConfig#OTHER_CLASSES} for those that are not told apart
 * @param priorityTier the priority, 0 for the most urgent
 */
public record Flow(String team, String jobClass, int priorityTier) implements Comparable<Flow> {
    private static final Comparator<Flow> ORDER = Comparator.comparingInt(Flow::priorityTier)
            .thenComparing(Flow::team)
            .thenComparing(Flow::jobClass);

    /** Checks that nothing is missing. */
    public Flow {
        InvalidInputException.require(team != null && !team.isEmpty(), "team", "missing or empty");
        InvalidInputException.require(jobClass != null, "jobClass", "missing");
        InvalidInputException.require(priorityTier >= 0, "tier", "negative: " + priorityTier);
    }

    @Override
    public int compareTo(Flow other) {
        return ORDER.compare(this, other);
    }
}
