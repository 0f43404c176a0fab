package stileferry.admission;

import java.util.Map;
import java.util.Set;
import stileferry.validation.InvalidInputException;

/**
 * What is fixed for one deployment. Everything else in this package is a ratio to these figures or to the users'
 * patience, which the protocol sets.
 *
 * @param weights the teams' weights by name; a request of any other team is none of this package's business
 * @param classes the classes of jobs that are told apart; all others of a team are one
 * @param intervalMs milliseconds between two steps of the leader, and between two exchanges of a door with it
 * @param maxAdmissionsPerS admissions a second that the state service can take at most
 */
public record AdmissionConfig(
        Map<String, Double> weights, Set<String> classes, long intervalMs, double maxAdmissionsPerS) {
    /** The class under which all classes that the settings don't name are counted. */
    public static final String OTHER_CLASSES = "*";

    /** Users give up so many seconds after their first attempt (PROTOCOL, "POST /work"). */
    public static final double CLIENT_RETRY_TIMEOUT_S = 60;

    /** Users come back after so many seconds at most, whatever they are told (PROTOCOL, "POST /work"). */
    public static final int MAX_RETRY_AFTER_S = 30;

    /** How long a turn lasts: users are told whole seconds, and their requests take time. A tenth of their patience. */
    public static final double WINDOW_S = CLIENT_RETRY_TIMEOUT_S / 10;

    /** Demand is measured over the users' patience, in so many slices. */
    static final int DEMAND_SLICES = 4;

    /** A table of turns is used for so many intervals after it was asked for. */
    private static final int TABLE_VALIDITY_INTERVALS = 4;

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
        InvalidInputException.require(isPositive(maxAdmissionsPerS), "mostPerS", "must be above 0");
    }

    private static boolean isPositive(Double figure) {
        return figure != null && figure > 0 && figure < Double.POSITIVE_INFINITY;
    }

    /** The flow of a request; null: of no known team, so that nothing is kept of it. */
    public Flow flow(String team, String jobClass, int tier) {
        if (!weights.containsKey(team)) {
            return null;
        }
        return new Flow(team, classes.contains(jobClass) ? jobClass : OTHER_CLASSES, tier);
    }

    /** Milliseconds for which a table of turns may be used, counted from when it was asked for. */
    public long tableValidityMs() {
        return TABLE_VALIDITY_INTERVALS * intervalMs;
    }

    /** Milliseconds of one slice of the time over which demand is measured. */
    long demandSliceMs() {
        return Math.round(1000 * CLIENT_RETRY_TIMEOUT_S / DEMAND_SLICES);
    }
}
