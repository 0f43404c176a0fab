package stileferry.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import stileferry.validation.InvalidInputException;

/**
 * Divides a capacity among flows: tiers in strict order, with a floor for each tier below that has demand; within a
 * tier weighted max-min fairness among teams, and among a team's flows in equal parts. Nothing is left over while a
 * demand is unmet, and nobody is given more than it asks for. The result does not depend on the order in which flows
 * are named.
 */
public final class FairShareAllocator {
    /** The part of the capacity that is kept for each tier below a more urgent one, as far as it has demand. */
    public static final double MIN_TIER_FRACTION = 0.1;

    private static final double EPSILON = 1e-9;

    private FairShareAllocator() {}

    /** Somebody who wants a part of a capacity. */
    private static final class Claimant {
        final double demand;
        final double weight;
        double share;

        Claimant(double demand, double weight) {
            this.demand = demand;
            this.weight = weight;
        }
    }

    /**
     * The share of each flow.
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
        SortedMap<Integer, SortedMap<Flow, Double>> tiers = new TreeMap<>();
        new TreeMap<>(demands)
                .forEach((flow, demand) -> tiers.computeIfAbsent(flow.priorityTier(), t -> new TreeMap<>())
                        .put(flow, demand));
        SortedMap<Flow, Double> shares = new TreeMap<>();
        double left = capacity;
        double[] floors = floors(capacity, tiers);
        double floorsBelow = 0;
        for (double floor : floors) {
            floorsBelow += floor;
        }
        int at = 0;
        for (SortedMap<Flow, Double> tier : tiers.values()) {
            floorsBelow -= floors[at++];
            double room = Math.max(0, left - floorsBelow);
            left -= divideAmongTeams(room, tier, weights, shares);
        }
        return shares;
    }

    /** What is kept for each tier; nothing for the first, which is served before all others. */
    private static double[] floors(double capacity, SortedMap<Integer, SortedMap<Flow, Double>> tiers) {
        double[] floors = new double[tiers.size()];
        int at = 0;
        for (SortedMap<Flow, Double> tier : tiers.values()) {
            floors[at] = at == 0 ? 0 : Math.min(sum(tier), MIN_TIER_FRACTION * capacity);
            at++;
        }
        return floors;
    }

    private static double sum(Map<Flow, Double> demands) {
        return demands.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Divides what there is for a tier and returns how much of it is taken. */
    private static double divideAmongTeams(
            double room, SortedMap<Flow, Double> tier, Map<String, Double> weights, SortedMap<Flow, Double> shares) {
        SortedMap<String, SortedMap<Flow, Double>> teams = new TreeMap<>();
        tier.forEach((flow, demand) ->
                teams.computeIfAbsent(flow.team(), t -> new TreeMap<>()).put(flow, demand));
        List<Claimant> claimants = new ArrayList<>();
        teams.forEach((team, flows) -> claimants.add(new Claimant(sum(flows), weights.getOrDefault(team, 1.0))));
        double taken = fill(room, claimants);
        int at = 0;
        for (SortedMap<Flow, Double> flows : teams.values()) {
            divideAmongFlows(claimants.get(at++).share, flows, shares);
        }
        return taken;
    }

    private static void divideAmongFlows(double room, SortedMap<Flow, Double> flows, SortedMap<Flow, Double> shares) {
        List<Claimant> claimants =
                flows.values().stream().map(demand -> new Claimant(demand, 1)).toList();
        fill(room, claimants);
        int at = 0;
        for (Flow flow : flows.keySet()) {
            shares.put(flow, claimants.get(at++).share);
        }
    }

    /** Fills all claimants evenly by their weights until each has what it asks for or nothing is left. */
    private static double fill(double room, List<Claimant> claimants) {
        List<Claimant> unmet = new ArrayList<>(claimants);
        unmet.removeIf(claimant -> claimant.demand <= 0);
        double left = room;
        while (!unmet.isEmpty() && left > EPSILON) {
            double weights =
                    unmet.stream().mapToDouble(claimant -> claimant.weight).sum();
            double level = left / weights;
            List<Claimant> met = unmet.stream()
                    .filter(claimant -> claimant.demand <= level * claimant.weight)
                    .toList();
            if (met.isEmpty()) {
                unmet.forEach(claimant -> claimant.share = level * claimant.weight);
                return room;
            }
            for (Claimant claimant : met) {
                claimant.share = claimant.demand;
                left -= claimant.demand;
            }
            unmet.removeAll(met);
        }
        return room - left;
    }
}
