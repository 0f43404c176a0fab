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

/** Tests properties that must hold for any sequence of events and any state of the links. */
class ConnectivityPropertiesTest {
    private static final ConnectivityConfig CONFIG_OF_A = new ConnectivityConfig("a", List.of("b"), 1000, 10_000, 1500);
    private static final ConnectivityConfig CONFIG_OF_B = new ConnectivityConfig("b", List.of("a"), 1000, 10_000, 1500);
    private static final int WORKERS = 12;

    /**
     * Returns for each worker whether the merged view lists it, knows the outcome of a request, and says it is reached.
     */
    private static TreeMap<String, String> describeWorkers(PeerView view) {
        TreeMap<String, String> descriptions = new TreeMap<>();
        for (int i = 0; i < WORKERS; i++) {
            String name = "w" + i;
            descriptions.put(name, view.lists(name) + " " + view.outboundKnown(name) + " " + view.reaches(name));
        }
        return descriptions;
    }

    private static void applyEvent(Connectivity connectivity, int event, long now) {
        String worker = "w" + event % WORKERS;
        switch (event / WORKERS % 5) {
            case 0 -> connectivity.heartbeatReceived(new WorkerHeartbeat(worker, worker, 1, now, true), now);
            case 1 -> connectivity.workerRequestAnswered(worker, false, now);
            case 2 -> connectivity.workerRequestFailed(worker, true, now);
            case 3 -> connectivity.workerRemoved(worker, now);
            default -> connectivity.relayedHeartbeatReceived(new WorkerHeartbeat(worker, worker, 1, now, true), now);
        }
    }

    /**
     * Views that arrive in any order, some of them twice and some never, must converge to the sender's state after one
     * more complete view.
     */
    @Property(tries = 300)
    void viewsInAnyOrderConvergeAfterOneCompleteView(
            @ForAll @Size(min = 1, max = 60) List<@IntRange(min = 0, max = 59) Integer> events,
            @ForAll @LongRange(min = 0, max = 1_000_000) long shuffleSeed) {
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
        Random random = new Random(shuffleSeed);
        List<ReachabilityView> delivered = new ArrayList<>(views);
        delivered.addAll(views.subList(0, views.size() / 2));
        Collections.shuffle(delivered, random);
        delivered.subList(0, random.nextInt(delivered.size())).forEach(view -> shuffled.merge(view, -1));

        // the next view contains all changes that the receiver has not acknowledged
        PeerView complete = new PeerView();
        ReachabilityView remaining = viewFrom(sender, shuffled, now);
        shuffled.merge(remaining, -1);
        complete.merge(viewFrom(sender, new PeerView(), now + 1), -1);
        assertEquals(describeWorkers(complete), describeWorkers(shuffled));
    }

    /** Returns the next view for a receiver that acknowledges what it has merged. */
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
        ReachabilityView.WorkerChanges noChanges = new ReachabilityView.WorkerChanges(
                1, 0, 0, List.of(), emptyBitmap(), emptyBitmap(), emptyBitmap(), emptyBitmap(), emptyBitmap());
        sender.receive(
                new ReachabilityView(
                        header,
                        new ReachabilityView.ControllerHealth(true, false, List.of()),
                        noChanges,
                        List.of(),
                        null,
                        0),
                now);
        return sender.viewFor("b", now);
    }

    private static RoaringBitmap emptyBitmap() {
        return new RoaringBitmap();
    }

    /**
     * Whatever links fail and recover, each controller releases the leadership at a limited rate, and there is a leader
     * once all links work again.
     */
    @Property(tries = 40)
    void releasesAreRateLimitedAndALeaderIsElectedAfterRecovery(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
            @ForAll @Size(min = 5, max = 40) List<@IntRange(min = 0, max = 63) Integer> brokenLinkMasks,
            @ForAll @IntRange(min = 200, max = 4000) int periodMs) {
        ExampleHost host = new ExampleHost(seed, 9);
        host.lateDuplicateShare = 0.2;
        host.runFor(10);
        for (int brokenLinkMask : brokenLinkMasks) {
            host.delivers =
                    (from, to) -> !linkBroken(brokenLinkMask, from, to) && !linkBroken(brokenLinkMask, to, from);
            host.runFor(periodMs / 1000.0);
        }
        double seconds = brokenLinkMasks.size() * periodMs / 1000.0;
        for (ExampleHost.Controller controller : host.controllers.values()) {
            double maxReleases = 2 + seconds / 20 + 1;
            assertTrue(controller.releases <= maxReleases, controller.releases + " releases in " + seconds + " s");
        }
        host.delivers = (from, to) -> true;
        host.runFor(15);
        assertTrue(host.leader() != null, "no leader although all links work");
    }

    /**
     * Returns whether a link is broken; each bit of {@code brokenLinkMask} breaks the links between one controller and
     * one target.
     */
    private static boolean linkBroken(int brokenLinkMask, String from, String to) {
        boolean fromA = from.equals("a");
        boolean fromB = from.equals("b");
        return fromA && (brokenLinkMask & 1) != 0 && to.startsWith("worker")
                || fromA && (brokenLinkMask & 2) != 0 && to.equals("b")
                || fromB && (brokenLinkMask & 4) != 0 && to.startsWith("worker")
                || fromB && (brokenLinkMask & 8) != 0 && to.equals("c")
                || fromA && (brokenLinkMask & 16) != 0 && to.equals("store")
                || fromB && (brokenLinkMask & 32) != 0 && to.equals("store");
    }

    /**
     * A decision must be withheld, with a reason and a retry time, unless this controller leads, is not handing over,
     * and has a recent response from the key-value store. If all of this holds, only scaling out and preempting may be
     * withheld, while many workers are suspect and for at most four heartbeat intervals.
     */
    @Property
    void decisionsAreWithheldOnStaleEvidence(
            @ForAll Decision decision,
            @ForAll boolean leading,
            @ForAll boolean handingOver,
            @ForAll @LongRange(min = -1, max = 10_000) long storeAnswerAgeMs,
            @ForAll boolean manySuspects,
            @ForAll @LongRange(min = 0, max = 20_000) long manySuspectsMs) {
        Verdict verdict = new DecisionGate(CONFIG_OF_A)
                .check(
                        decision,
                        new LinkEvidence(leading, handingOver, storeAnswerAgeMs, manySuspects, manySuspectsMs));
        boolean mayPermit = leading
                && !handingOver
                && storeAnswerAgeMs >= 0
                && storeAnswerAgeMs <= CONFIG_OF_A.storeAnswerMaxAgeMs();
        assertFalse(verdict.allowed() && !mayPermit);
        assertTrue(verdict.allowed() || !verdict.reason().isEmpty());
        assertTrue(
                verdict.allowed() || verdict.retryAfterMs() > 0, "a withheld decision needs a positive retryAfterMs");
        boolean needsFewSuspects = decision == Decision.SCALE_OUT || decision == Decision.PREEMPT;
        assertTrue(verdict.allowed()
                || !mayPermit
                || needsFewSuspects && manySuspects && manySuspectsMs < 4 * CONFIG_OF_A.heartbeatIntervalMs());
    }

    /** Whatever intervals were measured, a longer silence must not have a lower suspicion level. */
    @Property
    void suspicionLevelNeverFallsAsSilenceGrows(
            @ForAll @Size(max = 200) List<@DoubleRange(min = 0, max = 5000) Double> intervals,
            @ForAll @DoubleRange(min = 0, max = 50_000) double silenceMs,
            @ForAll @DoubleRange(min = 0, max = 50_000) double additionalSilenceMs) {
        PhiAccrualEstimator estimator = new PhiAccrualEstimator(1000);
        intervals.forEach(estimator::addInterval);
        double shorter = estimator.suspicionLevel(silenceMs);
        assertTrue(shorter >= 0 && estimator.suspicionLevel(silenceMs + additionalSilenceMs) >= shorter);
        double timeoutMs = estimator.timeoutMs(5);
        assertTrue(estimator.suspicionLevel(timeoutMs) >= 5 && timeoutMs > estimator.meanMs());
    }

    /** Two candidates must never compare as equal, and must never each be clearly better than the other. */
    @Property
    void candidatesAreTotallyOrdered(
            @ForAll boolean storeReachableA,
            @ForAll boolean storeReachableB,
            @ForAll @DoubleRange(min = 0, max = 1) double shareA,
            @ForAll @DoubleRange(min = 0, max = 1) double shareB,
            @ForAll boolean laggingA,
            @ForAll boolean laggingB) {
        LeaderCandidate first = new LeaderCandidate("a", storeReachableA, shareA, laggingA, 1);
        LeaderCandidate second = new LeaderCandidate("b", storeReachableB, shareB, laggingB, 1);
        assertEquals(Integer.signum(first.compareTo(second)), -Integer.signum(second.compareTo(first)));
        assertTrue(first.compareTo(second) != 0);
        assertFalse(first.clearlyBetterThan(second) && second.clearlyBetterThan(first));
    }
}
