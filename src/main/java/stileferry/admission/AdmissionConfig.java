package stileferry.admission;

import java.util.Map;
import java.util.Set;
import stileferry.validation.InvalidInputException;

/**
 * The configuration of admission control in one deployment. All other constants of this package are ratios to these
 * values or to the clients' retry timeout, which the protocol defines.
 *
 * @param weights the teams' fair-share weights by name; requests of other teams are not subject to admission control
 * @param classes the job classes that are distinguished; all other classes of a team count as one
 * @param intervalMs milliseconds between two recomputations at the leader, and between two exchanges with it
 * @param maxAdmissionsPerS the maximum rate of admissions that the key-value store can sustain, per second
 */
public record AdmissionConfig(
        Map<String, Double> weights, Set<String> classes, long intervalMs, double maxAdmissionsPerS) {
    /** Represents all job classes that the settings don't name. */
    public static final String OTHER_CLASSES = "*";

    /** Clients stop retrying this many seconds after their first attempt (PROTOCOL, "POST /work"). */
    public static final double CLIENT_RETRY_TIMEOUT_S = 60;

    /**
     * Clients wait at most this many seconds before a retry, even if a response asks for a longer wait (PROTOCOL, "POST
     * /work").
     */
    public static final int MAX_RETRY_AFTER_S = 30;

    /** Seconds that an admission window lasts: long enough for retry times in whole seconds and for slow requests. */
    public static final double WINDOW_S = CLIENT_RETRY_TIMEOUT_S / 10;

    /** Number of time slices in which demand is measured over the clients' retry timeout. */
    static final int DEMAND_SLICES = 4;

    private static final int TABLE_VALIDITY_INTERVALS = 4;
    private static final double MS_PER_S = 1000;

    /** Copies the collections and validates all values. */
    public AdmissionConfig {
        InvalidInputException.require(weights != null, "weights", "missing");
        for (Map.Entry<String, Double> weight : weights.entrySet()) {
            InvalidInputException.require(
                    isPositive(weight.getValue()), "weights", weight.getKey() + " must be above 0");
        }
        weights = Map.copyOf(weights);
        InvalidInputException.require(classes != null, "classes", "missing");
        classes = Set.copyOf(classes);
        InvalidInputException.require(intervalMs > 0, "intervalMs", "must be above 0");
        InvalidInputException.require(isPositive(maxAdmissionsPerS), "maxAdmissionsPerS", "must be above 0");
    }

    private static boolean isPositive(Double value) {
        return value != null && value > 0 && value < Double.POSITIVE_INFINITY;
    }

    /** Returns the flow of a job, or null if the team is unknown. */
    public Flow flow(String team, String jobClass, int priorityTier) {
        if (!weights.containsKey(team)) {
            return null;
        }
        return new Flow(team, classes.contains(jobClass) ? jobClass : OTHER_CLASSES, priorityTier);
    }

    /** Returns how long a table of admission windows is valid after it was requested, in milliseconds. */
    public long tableValidityMs() {
        return TABLE_VALIDITY_INTERVALS * intervalMs;
    }

    /** Returns the length of a time slice, in milliseconds. */
    long demandSliceMs() {
        return Math.round(MS_PER_S * CLIENT_RETRY_TIMEOUT_S / DEMAND_SLICES);
    }
}
