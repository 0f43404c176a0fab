package stileferry.admission;

import java.util.Map;
import java.util.Set;
import stileferry.validation.InvalidInputException;

/**
 * Settings of one deployment. All other figures of this package are ratios to these or to the clients' retry timeout,
 * which the protocol sets.
 *
 * @param weights the teams' fair-share weights by name; requests of other teams are not subject to admission control
 * @param classes the job classes that are told apart; all others of a team are counted as one
 * @param intervalMs milliseconds between two recomputations at the leader, and between two exchanges with it
 * @param maxAdmissionsPerS admissions a second that the key-value store can take at most
 */
public record AdmissionConfig(
        Map<String, Double> weights, Set<String> classes, long intervalMs, double maxAdmissionsPerS) {
    /** The job class under which all classes that the settings don't name are counted. */
    public static final String OTHER_CLASSES = "*";

    /** Clients give up this many seconds after their first attempt (PROTOCOL, "POST /work"). */
    public static final double CLIENT_RETRY_TIMEOUT_S = 60;

    /** Clients retry after this many seconds at most, whatever they are told (PROTOCOL, "POST /work"). */
    public static final int MAX_RETRY_AFTER_S = 30;

    /** Length of an admission window: long enough for retry times in whole seconds and for slow requests. */
    public static final double WINDOW_S = CLIENT_RETRY_TIMEOUT_S / 10;

    /** Time slices in which demand is measured over the clients' retry timeout. */
    static final int DEMAND_SLICES = 4;

    private static final int TABLE_VALIDITY_INTERVALS = 4;
    private static final double MS_PER_S = 1000;

    /** Checks every figure. */
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

    private static boolean isPositive(Double figure) {
        return figure != null && figure > 0 && figure < Double.POSITIVE_INFINITY;
    }

    /** The flow of a job; null if the team is unknown. */
    public Flow flow(String team, String jobClass, int priorityTier) {
        if (!weights.containsKey(team)) {
            return null;
        }
        return new Flow(team, classes.contains(jobClass) ? jobClass : OTHER_CLASSES, priorityTier);
    }

    /** Milliseconds for which a table of admission windows may be used, counted from when it was asked for. */
    public long tableValidityMs() {
        return TABLE_VALIDITY_INTERVALS * intervalMs;
    }

    /** Length of a time slice in milliseconds. */
    long demandSliceMs() {
        return Math.round(MS_PER_S * CLIENT_RETRY_TIMEOUT_S / DEMAND_SLICES);
    }
}
