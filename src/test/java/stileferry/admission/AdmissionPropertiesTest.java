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

/** Tests properties that must hold for any demand, in any order. */
class AdmissionPropertiesTest {
    private static final double TOLERANCE = 1e-6;
    private static final Map<String, Double> WEIGHTS = Map.of("a", 1.0, "b", 2.0, "c", 0.25);
    private static final AdmissionConfig CONFIG = new AdmissionConfig(WEIGHTS, Set.of("x", "y"), 1000, 10);

    /** Returns one of 24 flows, of three teams, two job classes and four priority tiers. */
    private static Flow flow(int number) {
        return new Flow(List.of("a", "b", "c").get(number % 3), number / 3 % 2 == 0 ? "x" : "y", number / 6 % 4);
    }

    private static SortedMap<Flow, Double> demands(List<Double> demandByFlow) {
        SortedMap<Flow, Double> demands = new TreeMap<>();
        for (int i = 0; i < demandByFlow.size(); i++) {
            demands.put(flow(i), demandByFlow.get(i));
        }
        return demands;
    }

    private static double sum(Map<Flow, Double> valueByFlow) {
        return valueByFlow.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    private static double sumOfTier(Map<Flow, Double> valueByFlow, int tier) {
        return valueByFlow.entrySet().stream()
                .filter(entry -> entry.getKey().priorityTier() == tier)
                .mapToDouble(Map.Entry::getValue)
                .sum();
    }

    @Property(tries = 500)
    void sharesAreWorkConservingAndWithinCapacityAndDemand(
            @ForAll @Size(max = 24) List<@DoubleRange(min = 0, max = 50) Double> demandByFlow,
            @ForAll @DoubleRange(min = 0, max = 100) double capacity) {
        SortedMap<Flow, Double> demands = demands(demandByFlow);
        SortedMap<Flow, Double> shares = FairShareAllocator.allocate(capacity, demands, WEIGHTS);
        shares.forEach((flow, share) ->
                assertTrue(share <= demands.get(flow) + TOLERANCE, flow + " got more than its demand: " + share));
        assertEquals(Math.min(capacity, sum(demands)), sum(shares), TOLERANCE * 100);
    }

    @Property(tries = 300)
    void noFlowStarvesAndTheMostUrgentTierIsServedFirst(
            @ForAll @Size(min = 1, max = 24) List<@DoubleRange(min = 0.1, max = 50) Double> demandByFlow,
            @ForAll @DoubleRange(min = 0.1, max = 100) double capacity) {
        SortedMap<Flow, Double> demands = demands(demandByFlow);
        SortedMap<Flow, Double> shares = FairShareAllocator.allocate(capacity, demands, WEIGHTS);
        shares.forEach((flow, share) -> assertTrue(share > 0, flow + " got no share"));
        int firstTier = demands.firstKey().priorityTier();
        double demandOfFirst = sumOfTier(demands, firstTier);
        double shareOfFirst = sumOfTier(shares, firstTier);
        long lowerTiers =
                demands.keySet().stream().map(Flow::priorityTier).distinct().count() - 1;
        double unreservedCapacity = Math.max(0, 1 - FairShareAllocator.MIN_TIER_FRACTION * lowerTiers) * capacity;
        assertTrue(
                shareOfFirst >= Math.min(demandOfFirst, unreservedCapacity) - TOLERANCE,
                "tier " + firstTier + " got only " + shareOfFirst);
    }

    /** Two teams in one tier whose demands exceed the capacity share it by weight; a higher demand gains nothing. */
    @Property(tries = 300)
    void unsatisfiedTeamsShareByWeight(
            @ForAll @DoubleRange(min = 10, max = 1000) double demandOfA,
            @ForAll @DoubleRange(min = 10, max = 1000) double demandOfB) {
        Flow ofA = new Flow("a", "x", 2);
        Flow ofB = new Flow("b", "x", 2);
        SortedMap<Flow, Double> shares =
                FairShareAllocator.allocate(3, Map.of(ofA, demandOfA, ofB, demandOfB), WEIGHTS);
        assertEquals(1, shares.get(ofA), TOLERANCE);
        assertEquals(2, shares.get(ofB), TOLERANCE);
    }

    /** Reports of several controllers merge to the same estimate in any order, even if some are repeated. */
    @Property(tries = 100)
    void mergingDemandIsCommutativeAndIdempotent(
            @ForAll @Size(min = 1, max = 200) List<@IntRange(min = 0, max = 400) Integer> jobs,
            @ForAll @LongRange(min = 0, max = 1_000_000) long shuffleSeed) {
        List<DemandReport> reports = new ArrayList<>();
        DemandEstimator single = new DemandEstimator(CONFIG);
        List<DemandEstimator> controllers =
                List.of(new DemandEstimator(CONFIG), new DemandEstimator(CONFIG), new DemandEstimator(CONFIG));
        for (int i = 0; i < jobs.size(); i++) {
            String id = "job-" + jobs.get(i);
            Flow flow = flow(jobs.get(i) % 4);
            DemandEstimator controller = controllers.get(i % controllers.size());
            single.recordRequest(flow, id, 1);
            controller.recordRequest(flow, id, 1);
            reports.add(new DemandReport(controller.currentSketches(1)));
        }
        Collections.shuffle(reports, new Random(shuffleSeed));
        reports.addAll(List.copyOf(reports.subList(0, reports.size() / 2)));
        assertEquals(single.waitingJobs(1), merge(reports).waitingJobs(1));
    }

    private static DemandEstimator merge(List<DemandReport> reports) {
        DemandEstimator merged = new DemandEstimator(CONFIG);
        reports.forEach(report -> AdmissionCodec.decodeDemand(AdmissionCodec.encode(report))
                .sketches()
                .forEach((flow, sketch) -> merged.merge(flow, sketch, 1)));
        return merged;
    }

    /** Compares estimates with exact counts: equal up to the nominal entries, within the error bound beyond. */
    @Property(tries = 60)
    void demandEstimatesStayWithinTheirErrorBounds(
            @ForAll @IntRange(min = 0, max = 3000) int requested,
            @ForAll @IntRange(min = 0, max = 3000) int maxAdmitted) {
        DemandEstimator demand = new DemandEstimator(CONFIG);
        int admitted = Math.min(requested, maxAdmitted);
        for (int i = 0; i < requested; i++) {
            demand.recordRequest(flow(0), "job-" + i, 1);
            if (i < admitted) {
                demand.recordAdmission(flow(0), "job-" + i, 1);
            }
        }
        DemandEstimate estimate = demand.waitingJobs(1).getOrDefault(flow(0), DemandEstimate.NONE);
        int exact = requested - admitted;
        if (requested <= FlowDemandSketch.NOMINAL_ENTRIES) {
            assertEquals(exact, estimate.waitingJobs());
        } else { // three standard errors of the larger set
            double tolerance = 3.0 / 16 * requested;
            assertEquals(exact, estimate.waitingJobs(), tolerance, requested + " requested, " + admitted + " admitted");
        }
    }

    /** At any speed, every job is in the window once per round, and is in it at the retry time it was given. */
    @Property(tries = 500)
    void everyJobIsInTheWindowOncePerRoundAndAtItsRetryTime(
            @ForAll @DoubleRange(min = 0, max = 0.99) double position,
            @ForAll @DoubleRange(min = 0.01, max = 0.16) double roundsPerS,
            @ForAll @IntRange(min = 0, max = 100_000) int job,
            @ForAll @DoubleRange(min = 0, max = 100) double ageS) {
        AdmissionWindow window = new AdmissionWindow(position, roundsPerS);
        double jobPosition = JobIdHash.ringPosition("job-" + job);
        double waitS = window.waitS(jobPosition, ageS);
        assertTrue(waitS >= 0 && waitS <= 1 / roundsPerS, "wait beyond one round: " + waitS);
        if (waitS > 0) {
            assertEquals(0, window.waitS(jobPosition, ageS + waitS + 1), "not in the window at the retry time");
        }
    }

    /** With any flows and demand, a single leader admits no more than the capacity and starves no flow. */
    @Property(tries = 40)
    void admissionsStayWithinTheCapacity(
            @ForAll @Size(min = 1, max = 12) List<@IntRange(min = 1, max = 30) Integer> jobsPerSByFlow) {
        int seconds = 60;
        Map<Flow, Integer> admitted = submit(jobsPerSByFlow, seconds);
        int total = admitted.values().stream().mapToInt(Integer::intValue).sum();
        // the initial spare tokens of each tier, and the capacity divided since then
        double maxTotal = CONFIG.maxAdmissionsPerS() * (seconds + (4 + 1) * AdmissionConfig.WINDOW_S);
        assertTrue(total <= maxTotal, total + " admitted, expected at most " + maxTotal);
        for (int i = 0; i < jobsPerSByFlow.size(); i++) {
            assertTrue(admitted.getOrDefault(flow(i), 0) > 0, flow(i) + " got no admission");
        }
    }

    private static Map<Flow, Integer> submit(List<Integer> jobsPerSByFlow, int seconds) {
        AdmissionController controller = new AdmissionController(CONFIG, 1, null, 0);
        Map<Flow, Integer> admitted = new HashMap<>();
        int jobs = 0;
        for (int second = 0; second < seconds; second++) {
            long now = 1000L * second;
            for (int i = 0; i < jobsPerSByFlow.size(); i++) {
                for (int job = 0; job < jobsPerSByFlow.get(i); job++) {
                    if (controller.decide(flow(i), "job-" + jobs++, now).admitted()) {
                        admitted.merge(flow(i), 1, Integer::sum);
                    }
                }
            }
            controller.updateShares(BackPressure.NONE, now);
        }
        return admitted;
    }
}
