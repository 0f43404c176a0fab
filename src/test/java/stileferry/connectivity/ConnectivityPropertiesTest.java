package stileferry.connectivity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.roaringbitmap.RoaringBitmap;

/** Properties that hold for any sequence of events. */
class ConnectivityPropertiesTest {
    private static final ConnectivityConfig CONFIG_OF_A = new ConnectivityConfig("a", List.of("b"), 1000, 10_000, 1500);
    private static final ConnectivityConfig CONFIG_OF_B = new ConnectivityConfig("b", List.of("a"), 1000, 10_000, 1500);
    private static final int WORKERS = 12;

    /** What the merged view says of each worker. */
    private static TreeMap<String, String> describeWorkers(PeerView view) {
        TreeMap<String, String> known = new TreeMap<>();
        for (int i = 0; i < WORKERS; i++) {
            String name = "w" + i;
            known.put(name, view.lists(name) + " " + view.outboundKnown(name) + " " + view.reaches(name));
        }
        return known;
    }

    private static void applyEvent(Connectivity links, int event, long now) {
        String worker = "w" + event % WORKERS;
        switch (event / WORKERS % 5) {
            case 0 -> links.heartbeatReceived(new WorkerHeartbeat(worker, worker, 1, now, true), now);
            case 1 -> links.workerRequestAnswered(worker, false, now);
            case 2 -> links.workerRequestFailed(worker, true, now);
            case 3 -> links.workerRemoved(worker, now);
            default -> links.relayedHeartbeatReceived(new WorkerHeartbeat(worker, worker, 1, now, true), now);
        }
    }

    /** Views that arrive in any order, some of them twice and some never, converge after one more complete view. */
    @Property(tries = 300)
    void viewsInAnyOrderConvergeAfterOneCompleteView(
            @ForAll @Size(min = 1, max = 60) List<@IntRange(min = 0, max = 59) Integer> events,
            @ForAll @LongRange(min = 0, max = 1_000_000) long shuffle) {
        Connectivity sender = new Connectivity(CONFIG_OF_A, 5, 0);
        sender.elected(1, 0);
        Connectivity inOrder = new Connectivity(CONFIG_OF_B, 6, 0);
        PeerView shuffled = new PeerView();
        List<ReachabilityView> views = new ArrayList<>();
        long now = 1;
        for (int event : events) {
            applyEvent(sender, event, now);
            ReachabilityView view = sender.viewFor("b", now);
            views.add(view);
            inOrder.receive(ViewCodec.read(ViewCodec.write(view)), now);
            if (event % 3 == 0) {
                sender.receive(inOrder.viewFor("a", now), now);
            }
            now++;
        }
        Random random = new Random(shuffle);
        List<ReachabilityView> late = new ArrayList<>(views);
        late.addAll(views.subList(0, views.size() / 2));
        Collections.shuffle(late, random);
        late.subList(0, random.nextInt(late.size())).forEach(view -> shuffled.merge(view, -1));

        // the next view contains what the receiver has not acknowledged
        PeerView fresh = new PeerView();
        ReachabilityView rest = viewFrom(sender, shuffled, now);
        shuffled.merge(rest, -1);
        fresh.merge(viewFrom(sender, new PeerView(), now + 1), -1);
        assertEquals(describeWorkers(fresh), describeWorkers(shuffled));
    }

    /** The next view for a receiver with these acknowledgements. */
    private static ReachabilityView viewFrom(Connectivity sender, PeerView receiver, long now) {
        ReachabilityView.Header header = new ReachabilityView.Header(
                "b",
                1000 + now,
                1,
                1,
                "",
                sender.viewFor("b", now).header().incarnation(),
                1,
                receiver.version(),
                receiver.epoch());
        ReachabilityView.WorkerChanges nothing = new ReachabilityView.WorkerChanges(
                1, 0, 0, List.of(), emptyBitmap(), emptyBitmap(), emptyBitmap(), emptyBitmap(), emptyBitmap());
        sender.receive(
                new ReachabilityView(
                        header,
                        new ReachabilityView.ControllerHealth(true, false, List.of()),
                        nothing,
                        List.of(),
                        null,
                        0),
                now);
        return sender.viewFor("b", now);
    }

    private static RoaringBitmap emptyBitmap() {
        return new RoaringBitmap();
    }

    /** Whatever the links do, releases are rate-limited, and there is a leader after the links recover. */
    @Property(tries = 40)
    void releasesAreRateLimitedAndALeaderIsElectedAfterRecovery(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
            @ForAll @Size(min = 5, max = 40) List<@IntRange(min = 0, max = 63) Integer> cuts,
            @ForAll @IntRange(min = 200, max = 4000) int periodMs) {
        ExampleHost host = new ExampleHost(seed, 9);
        host.lateDuplicateShare = 0.2;
        host.runFor(10);
        for (int cut : cuts) {
            host.delivers = (from, to) -> !linkBroken(cut, from, to) && !linkBroken(cut, to, from);
            host.runFor(periodMs / 1000.0);
        }
        double seconds = cuts.size() * periodMs / 1000.0;
        for (ExampleHost.Controller member : host.controllers.values()) {
            double bound = 2 + seconds / 20 + 1;
            assertTrue(member.releases <= bound, member.releases + " releases in " + seconds + " s");
        }
        host.delivers = (from, to) -> true;
        host.runFor(15);
        assertTrue(host.leader() != null, "no leader with all links working");
    }

    /** Each bit of {@code cut} cuts one kind of link of one controller. */
    private static boolean linkBroken(int cut, String from, String to) {
        boolean fromA = from.equals("a");
        boolean fromB = from.equals("b");
        return fromA && (cut & 1) != 0 && to.startsWith("worker")
                || fromA && (cut & 2) != 0 && to.equals("b")
                || fromB && (cut & 4) != 0 && to.startsWith("worker")
                || fromB && (cut & 8) != 0 && to.equals("c")
                || fromA && (cut & 16) != 0 && to.equals("store")
                || fromB && (cut & 32) != 0 && to.equals("store");
    }

    /** No decision is permitted during a handover, or when the state service's last answer is too old. */
    @Property
    void decisionsAreWithheldOnStaleEvidence(
            @ForAll Decision decision,
            @ForAll boolean leading,
            @ForAll boolean handingOver,
            @ForAll @LongRange(min = -1, max = 10_000) long storeAgeMs,
            @ForAll boolean many,
            @ForAll @LongRange(min = 0, max = 20_000) long manyMs) {
        Verdict verdict = new DecisionGate(CONFIG_OF_A)
                .check(decision, new LinkEvidence(leading, handingOver, storeAgeMs, many, manyMs));
        boolean mayPermit =
                leading && !handingOver && storeAgeMs >= 0 && storeAgeMs <= CONFIG_OF_A.storeAnswerMaxAgeMs();
        assertFalse(verdict.allowed() && !mayPermit);
        assertTrue(verdict.allowed() || !verdict.reason().isEmpty());
        assertTrue(verdict.allowed() || verdict.retryAfterMs() > 0, "retryAfterMs is set");
        boolean waitsForSuspects = decision == Decision.SCALE_OUT || decision == Decision.PREEMPT;
        assertTrue(verdict.allowed()
                || !mayPermit
                || waitsForSuspects && many && manyMs < 4 * CONFIG_OF_A.heartbeatIntervalMs());
    }

    /** A longer silence is never less suspect, whatever intervals were measured. */
    @Property
    void suspicionLevelNeverFallsAsSilenceGrows(
            @ForAll @Size(max = 200) List<@DoubleRange(min = 0, max = 5000) Double> intervals,
            @ForAll @DoubleRange(min = 0, max = 50_000) double silence,
            @ForAll @DoubleRange(min = 0, max = 50_000) double more) {
        PhiAccrualEstimator estimator = new PhiAccrualEstimator(1000);
        intervals.forEach(estimator::addInterval);
        double shorter = estimator.suspicionLevel(silence);
        assertTrue(shorter >= 0 && estimator.suspicionLevel(silence + more) >= shorter);
        double timeoutMs = estimator.timeoutMs(5);
        assertTrue(estimator.suspicionLevel(timeoutMs) >= 5 && timeoutMs > estimator.meanMs());
    }

    /** No two candidates are equal, and none is clearly better than one that is clearly better than it. */
    @Property
    void candidatesAreTotallyOrdered(
            @ForAll boolean storeA,
            @ForAll boolean storeB,
            @ForAll @DoubleRange(min = 0, max = 1) double shareA,
            @ForAll @DoubleRange(min = 0, max = 1) double shareB,
            @ForAll boolean laggingA,
            @ForAll boolean laggingB) {
        LeaderCandidate first = new LeaderCandidate("a", storeA, shareA, laggingA, 1);
        LeaderCandidate second = new LeaderCandidate("b", storeB, shareB, laggingB, 1);
        assertEquals(Integer.signum(first.compareTo(second)), -Integer.signum(second.compareTo(first)));
        assertTrue(first.compareTo(second) != 0);
        assertFalse(first.clearlyBetterThan(second) && second.clearlyBetterThan(first));
    }
}
