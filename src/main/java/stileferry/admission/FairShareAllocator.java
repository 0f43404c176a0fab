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
 * Divides a capacity among flows: priority tiers in strict order, with a guaranteed minimum for each lower tier that
 * has demand; within a tier weighted max-min fairness among teams, and unweighted max-min fairness among a team's
 * flows. Work-conserving: nothing is left over while a demand is unmet, and no flow gets more than it asks for. The
 * result does not depend on the order of the flows.
 */
public final class FairShareAllocator {
    /** The fraction of the capacity that each tier but the most urgent is guaranteed, as far as it has demand. */
    public static final double MIN_TIER_FRACTION = 0.1;

    private static final double DEFAULT_WEIGHT = 1;

    /** Less capacity than this counts as none left, or rounding errors would be divided. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private FairShareAllocator() {}

    /** A team or a flow that competes for a part of a capacity. */
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
     * The fair share of each flow.
     *
     * @param capacity what there is to divide, admissions a second
     * @param demands what each flow asks for, in the same unit
     * @param weights the teams' weights; 1 for a team that is not named
     */
    public static SortedMap<Flow, Double> allocate(
            double capacity, Map<Flow, Double> demands, Map<String, Double> weights) {
        InvalidInputException.require(capacity >= 0, "capacity", "negative or not a number: " + capacity);
        demands.forEach(
                (flow, demand) -> InvalidInputException.require(demand >= 0, "demands", flow + " asks for " + demand));
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

    /** The demands in groups, in the order of the groups' keys. */
    private static <K extends Comparable<K>> List<SortedMap<Flow, Double>> groupBy(
            Function<Flow, K> key, Map<Flow, Double> demands) {
        SortedMap<K, SortedMap<Flow, Double>> groups = new TreeMap<>();
        demands.forEach((flow, demand) -> groups.computeIfAbsent(key.apply(flow), absent -> new TreeMap<>())
                .put(flow, demand));
        return List.copyOf(groups.values());
    }

    /** What is reserved for each tier; nothing for the most urgent, which is served before all others. */
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

    /** Divides a tier's capacity and returns how much of it is used. */
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
     * Weighted max-min fairness by progressive filling: raises all claimants by their weights until each has its
     * demand or nothing is left. Returns how much is used.
     */
    private static double divideMaxMin(double available, List<Claimant> claimants) {
        List<Claimant> unmet = new ArrayList<>(claimants);
        unmet.removeIf(claimant -> claimant.demand <= 0);
        double remaining = available;
        while (!unmet.isEmpty() && remaining > ROUNDING_TOLERANCE) {
            double perWeight = remaining / sumOfWeights(unmet);
            List<Claimant> met = unmet.stream()
                    .filter(claimant -> claimant.demand <= perWeight * claimant.weight)
                    .toList();
            if (met.isEmpty()) {
                unmet.forEach(claimant -> claimant.share = perWeight * claimant.weight);
                return available;
            }
            for (Claimant claimant : met) {
                claimant.share = claimant.demand;
                remaining -= claimant.demand;
            }
            unmet.removeAll(met);
        }
        return available - remaining;
    }

    private static double sumOfWeights(List<Claimant> claimants) {
        return claimants.stream().mapToDouble(claimant -> claimant.weight).sum();
    }
}
