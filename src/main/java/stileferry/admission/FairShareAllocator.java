package stileferry.admission;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import stileferry.validation.InvalidInputException;

/**
 * Divides a capacity among flows. Priority tiers are served in strict order, with a guaranteed minimum for each lower
 * tier that has demand. Within a tier, teams share by weighted max-min fairness, and the flows of a team by unweighted
 * max-min fairness. The division is work-conserving: no capacity is left over while a demand is unmet, and no flow gets
 * more than its demand. The result does not depend on the order of the flows.
 */
public final class FairShareAllocator {
    /** The fraction of the capacity that each tier except the most urgent is guaranteed, as far as it has demand. */
    public static final double MIN_TIER_FRACTION = 0.1;

    private static final double DEFAULT_WEIGHT = 1;

    /** Remaining capacity of at most this value counts as none, so that rounding errors are not divided. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private FairShareAllocator() {}

    /** A team or a flow that competes for a share of a capacity. */
    private static final class Claimant {
        private final double demand;
        private final double weight;
        private double share;

        Claimant(double demand, double weight) {
            this.demand = demand;
            this.weight = weight;
        }
    }

    /**
     * Returns the fair share of each flow, in admissions per second.
     *
     * @param capacity the capacity to divide, in admissions per second
     * @param demands the demand of each flow, in the same unit
     * @param weights the teams' weights by name; a team that is missing has weight 1
     */
    public static SortedMap<Flow, Double> allocate(
            double capacity, Map<Flow, Double> demands, Map<String, Double> weights) {
        InvalidInputException.require(capacity >= 0, "capacity", "negative or not a number: " + capacity);
        demands.forEach((flow, demand) ->
                InvalidInputException.require(demand >= 0, "demands", flow + " has the invalid demand " + demand));
        List<SortedMap<Flow, Double>> tiers = groupBy(Flow::priorityTier, demands);
        double[] minimums = minimums(capacity, tiers);
        double reservedBelow = Arrays.stream(minimums).reduce(0, Double::sum);
        SortedMap<Flow, Double> shares = new TreeMap<>();
        double remaining = capacity;
        for (int tier = 0; tier < minimums.length; tier++) {
            reservedBelow -= minimums[tier];
            double available = Math.max(0, remaining - reservedBelow);
            remaining -= divideAmongTeams(available, tiers.get(tier), weights, shares);
        }
        return shares;
    }

    /** Groups the demands by a key; the groups are in the order of their keys. */
    private static <K extends Comparable<K>> List<SortedMap<Flow, Double>> groupBy(
            Function<Flow, K> key, Map<Flow, Double> demands) {
        SortedMap<K, SortedMap<Flow, Double>> groups = new TreeMap<>();
        demands.forEach((flow, demand) -> groups.computeIfAbsent(key.apply(flow), absent -> new TreeMap<>())
                .put(flow, demand));
        return List.copyOf(groups.values());
    }

    /**
     * Returns the capacity reserved for each tier. It is 0 for the most urgent tier, which is served before all others.
     */
    private static double[] minimums(double capacity, List<SortedMap<Flow, Double>> tiers) {
        double[] minimums = new double[tiers.size()];
        for (int tier = 1; tier < minimums.length; tier++) {
            minimums[tier] = Math.min(sum(tiers.get(tier)), MIN_TIER_FRACTION * capacity);
        }
        return minimums;
    }

    private static double sum(Map<Flow, Double> demands) {
        return demands.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Divides the capacity available to a tier among its teams and returns how much of it is used. */
    private static double divideAmongTeams(
            double available,
            SortedMap<Flow, Double> demands,
            Map<String, Double> weights,
            SortedMap<Flow, Double> shares) {
        List<SortedMap<Flow, Double>> teams = groupBy(Flow::team, demands);
        List<Claimant> claimants = teams.stream()
                .map(flows -> new Claimant(sum(flows), weight(flows.firstKey().team(), weights)))
                .toList();
        double used = divideMaxMin(available, claimants);
        for (int team = 0; team < claimants.size(); team++) {
            divideAmongFlows(claimants.get(team).share, teams.get(team), shares);
        }
        return used;
    }

    private static double weight(String team, Map<String, Double> weights) {
        return weights.getOrDefault(team, DEFAULT_WEIGHT);
    }

    private static void divideAmongFlows(
            double available, SortedMap<Flow, Double> demands, SortedMap<Flow, Double> shares) {
        SortedMap<Flow, Claimant> claimants = new TreeMap<>();
        demands.forEach((flow, demand) -> claimants.put(flow, new Claimant(demand, DEFAULT_WEIGHT)));
        divideMaxMin(available, List.copyOf(claimants.values()));
        claimants.forEach((flow, claimant) -> shares.put(flow, claimant.share));
    }

    /**
     * Weighted max-min fairness by progressive filling: raises all shares in proportion to the weights until each
     * claimant has its demand or no capacity is left. Returns how much capacity is used.
     */
    private static double divideMaxMin(double available, List<Claimant> claimants) {
        List<Claimant> unsatisfied = new ArrayList<>(claimants);
        unsatisfied.removeIf(claimant -> claimant.demand <= 0);
        double remaining = available;
        while (!unsatisfied.isEmpty() && remaining > ROUNDING_TOLERANCE) {
            double perWeight = remaining / sumOfWeights(unsatisfied);
            List<Claimant> satisfied = unsatisfied.stream()
                    .filter(claimant -> claimant.demand <= perWeight * claimant.weight)
                    .toList();
            if (satisfied.isEmpty()) {
                unsatisfied.forEach(claimant -> claimant.share = perWeight * claimant.weight);
                return available;
            }
            for (Claimant claimant : satisfied) {
                claimant.share = claimant.demand;
                remaining -= claimant.demand;
            }
            unsatisfied.removeAll(satisfied);
        }
        return available - remaining;
    }

    private static double sumOfWeights(List<Claimant> claimants) {
        return claimants.stream().mapToDouble(claimant -> claimant.weight).sum();
    }
}
