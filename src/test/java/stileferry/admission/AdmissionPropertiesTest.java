package stileferry.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

/** What must hold for any demand, in any order. */
class AdmissionPropertiesTest {
    private static final double TOLERANCE = 1e-6;
    private static final Map<String, Double> WEIGHTS = Map.of("a", 1.0, "b", 2.0, "c", 0.25);
    private static final AdmissionConfig CONFIG = new AdmissionConfig(WEIGHTS, Set.of("x", "y"), 1000, 10);

    private static Flow flow(int number) {
        return new Flow(List.of("a", "b", "c").get(number % 3), number / 3 % 2 == 0 ? "x" : "y", number / 6 % 4);
    }

    private static SortedMap<Flow, Double> demands(List<Double> wanted) {
        SortedMap<Flow, Double> demands = new TreeMap<>();
        for (int i = 0; i < wanted.size(); i++) {
            demands.put(flow(i), wanted.get(i));
        }
        return demands;
    }

    private static double sum(Map<Flow, Double> figures) {
        return figures.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    @Property(tries = 500)
    void sharesNeverExceedTheCapacityOrTheDemandAndLeaveNothingOver(
            @ForAll @Size(max = 24) List<@DoubleRange(min = 0, max = 50) Double> wanted,
            @ForAll @DoubleRange(min = 0, max = 100) double capacity) {
        SortedMap<Flow, Double> demands = demands(wanted);
        SortedMap<Flow, Double> shares = FairShareAllocator.allocate(capacity, demands, WEIGHTS);
        shares.forEach((flow, share) -> assertTrue(share <= demands.get(flow) + TOLERANCE, flow + " has " + share));
        assertEquals(Math.min(capacity, sum(demands)), sum(shares), TOLERANCE * 100);
    }

    @Property(tries = 300)
    void nobodyWhoAsksIsLeftWithNothingAndTheUrgentComeFirst(
            @ForAll @Size(min = 1, max = 24) List<@DoubleRange(min = 0.1, max = 50) Double> wanted,
            @ForAll @DoubleRange(min = 0.1, max = 100) double capacity) {
        SortedMap<Flow, Double> demands = demands(wanted);
        SortedMap<Flow, Double> shares = FairShareAllocator.allocate(capacity, demands, WEIGHTS);
        shares.forEach((flow, share) -> assertTrue(share > 0, flow + " is starved"));
        int first = demands.firstKey().priorityTier();
        double urgent = demands.entrySet().stream()
                .filter(e -> e.getKey().priorityTier() == first)
                .mapToDouble(Map.Entry::getValue)
                .sum();
        double given = shares.entrySet().stream()
                .filter(e -> e.getKey().priorityTier() == first)
                .mapToDouble(Map.Entry::getValue)
                .sum();
        int tiersBelow = (int) demands.keySet().stream()
                        .map(Flow::priorityTier)
                        .distinct()
                        .count()
                - 1;
        double kept = Math.max(0, 1 - FairShareAllocator.MIN_TIER_FRACTION * tiersBelow) * capacity;
        assertTrue(given >= Math.min(urgent, kept) - TOLERANCE, "tier " + first + " has " + given);
    }

    /** Of two teams in one tier, both unsatisfied, each has its weight's part: nobody gains by asking for more. */
    @Property(tries = 300)
    void unsatisfiedTeamsHaveTheirWeights(
            @ForAll @DoubleRange(min = 10, max = 1000) double a, @ForAll @DoubleRange(min = 10, max = 1000) double b) {
        Flow ofA = new Flow("a", "x", 2);
        Flow ofB = new Flow("b", "x", 2);
        SortedMap<Flow, Double> shares = FairShareAllocator.allocate(3, Map.of(ofA, a, ofB, b), WEIGHTS);
        assertEquals(1, shares.get(ofA), TOLERANCE);
        assertEquals(2, shares.get(ofB), TOLERANCE);
    }

    /** Reports of several controllers lead to the same in any order, some of them twice. */
    @Property(tries = 100)
    void demandMergesInAnyOrderToTheSame(
            @ForAll @Size(min = 1, max = 200) List<@IntRange(min = 0, max = 400) Integer> ids,
            @ForAll @LongRange(min = 0, max = 1_000_000) long shuffle) {
        List<DemandReport> reports = new ArrayList<>();
        DemandEstimator seenByOne = new DemandEstimator(CONFIG);
        DemandEstimator[] doors = {new DemandEstimator(CONFIG), new DemandEstimator(CONFIG), new DemandEstimator(CONFIG)
        };
        for (int i = 0; i < ids.size(); i++) {
            String id = "job-" + ids.get(i);
            seenByOne.recordRequest(flow(ids.get(i) % 4), id, 1);
            doors[i % 3].recordRequest(flow(ids.get(i) % 4), id, 1);
            reports.add(new DemandReport(doors[i % 3].currentSketches(1)));
        }
        Collections.shuffle(reports, new Random(shuffle));
        reports.addAll(List.copyOf(reports.subList(0, reports.size() / 2)));
        DemandEstimator merged = new DemandEstimator(CONFIG);
        reports.forEach(report -> AdmissionCodec.decodeDemand(AdmissionCodec.encode(report))
                .sketches()
                .forEach((flow, sketch) -> merged.merge(flow, sketch, 1)));
        assertEquals(seenByOne.waitingJobs(1), merged.waitingJobs(1));
    }

    /** Sketches against exact counts: no error below their size, and the stated bounds beyond it. */
    @Property(tries = 60)
    void estimatesKeepTheirBounds(
            @ForAll @IntRange(min = 0, max = 3000) int asking, @ForAll @IntRange(min = 0, max = 3000) int admitted) {
        DemandEstimator meter = new DemandEstimator(CONFIG);
        int served = Math.min(asking, admitted);
        for (int i = 0; i < asking; i++) {
            meter.recordRequest(flow(0), "job-" + i, 1);
            if (i < served) {
                meter.recordAdmission(flow(0), "job-" + i, 1);
            }
        }
        DemandEstimate estimate = meter.waitingJobs(1).getOrDefault(flow(0), DemandEstimate.NONE);
        int exact = asking - served;
        if (asking <= FlowDemandSketch.NOMINAL_ENTRIES) {
            assertEquals(exact, estimate.waitingJobs());
        } else { // three standard deviations of the larger set
            assertEquals(exact, estimate.waitingJobs(), 3.0 / 16 * asking, asking + " asked, " + served + " admitted");
        }
    }

    /** Whatever the pointer's speed: everybody's turn comes once a round, and who is told a time is in turn then. */
    @Property(tries = 500)
    void everyTurnComes(
            @ForAll @DoubleRange(min = 0, max = 0.99) double position,
            @ForAll @DoubleRange(min = 0.01, max = 0.16) double speed,
            @ForAll @IntRange(min = 0, max = 100_000) int id,
            @ForAll @DoubleRange(min = 0, max = 100) double later) {
        AdmissionWindow turn = new AdmissionWindow(position, speed);
        double place = JobIdHash.ringPosition("job-" + id);
        double wait = turn.waitS(place, later);
        assertTrue(wait >= 0 && wait <= 1 / speed, "waits " + wait);
        if (wait > 0) {
            assertEquals(0, turn.waitS(place, later + wait + 1), "not in turn when told to come");
        }
    }

    /** A leader alone, many flows, any demand: what is admitted stays within what was divided. */
    @Property(tries = 40)
    void admissionsStayWithinTheCapacity(
            @ForAll @Size(min = 1, max = 12) List<@IntRange(min = 1, max = 30) Integer> arrivals) {
        AdmissionController controller = new AdmissionController(CONFIG, 1, null, 0);
        Map<Flow, Integer> admitted = new HashMap<>();
        int seconds = 60;
        int number = 0;
        for (int second = 0; second < seconds; second++) {
            long now = 1000L * second;
            for (int i = 0; i < arrivals.size(); i++) {
                for (int n = 0; n < arrivals.get(i); n++) {
                    if (controller.decide(flow(i), "job-" + number++, now).admitted()) {
                        admitted.merge(flow(i), 1, Integer::sum);
                    }
                }
            }
            controller.updateShares(BackPressure.NONE, now);
        }
        int all = admitted.values().stream().mapToInt(Integer::intValue).sum();
        // each tier's spare tokens at first, and what was divided since
        double most = CONFIG.maxAdmissionsPerS() * (seconds + (4 + 1) * AdmissionConfig.WINDOW_S);
        assertTrue(all <= most, all + " admitted, at most " + most);
        for (int i = 0; i < arrivals.size(); i++) {
            assertTrue(admitted.getOrDefault(flow(i), 0) > 0, flow(i) + " is starved");
        }
    }
}
