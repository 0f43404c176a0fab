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

/** What must hold for any sequence of events. */
class ConnectivityPropertiesTest {
    private static final ConnectivityConfig A = new ConnectivityConfig("a", List.of("b"), 1000, 10_000, 1500);
    private static final ConnectivityConfig B = new ConnectivityConfig("b", List.of("a"), 1000, 10_000, 1500);
    private static final int WORKERS = 12;

    /** What a view holds of each worker, as the collector has it. */
    private static TreeMap<String, String> known(PeerView view) {
        TreeMap<String, String> known = new TreeMap<>();
        for (int i = 0; i < WORKERS; i++) {
            String name = "w" + i;
            known.put(name, view.lists(name) + " " + view.outboundKnown(name) + " " + view.reaches(name));
        }
        return known;
    }

    private static void change(Connectivity links, int event, long now) {
        String worker = "w" + event % WORKERS;
        switch (event / WORKERS % 5) {
            case 0 -> links.heartbeatReceived(new WorkerHeartbeat(worker, worker, 1, now, true), now);
            case 1 -> links.workerRequestAnswered(worker, false, now);
            case 2 -> links.workerRequestFailed(worker, true, now);
            case 3 -> links.workerRemoved(worker, now);
            default -> links.relayedHeartbeatReceived(new WorkerHeartbeat(worker, worker, 1, now, true), now);
        }
    }

    /** Views that arrive in any order, some of them twice and some never, lead to the same once all has been said. */
    @Property(tries = 300)
    void viewsMergeInAnyOrderToTheSame(
            @ForAll @Size(min = 1, max = 60) List<@IntRange(min = 0, max = 59) Integer> events,
            @ForAll @LongRange(min = 0, max = 1_000_000) long shuffle) {
        Connectivity sender = new Connectivity(A, 5, 0);
        sender.elected(1, 0);
        Connectivity inOrder = new Connectivity(B, 6, 0);
        PeerView shuffled = new PeerView();
        List<ReachabilityView> views = new ArrayList<>();
        long now = 1;
        for (int event : events) {
            change(sender, event, now);
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

        // whoever lacks something says so, and gets it
        PeerView fresh = new PeerView();
        ReachabilityView rest = viewFrom(sender, shuffled, now);
        shuffled.merge(rest, -1);
        fresh.merge(viewFrom(sender, new PeerView(), now + 1), -1);
        assertEquals(known(fresh), known(shuffled));
    }

    /** What the sender says to a receiver that has this. */
    private static ReachabilityView viewFrom(Connectivity sender, PeerView has, long now) {
        ReachabilityView.Header header = new ReachabilityView.Header(
                "b",
                1000 + now,
                1,
                1,
                "",
                sender.viewFor("b", now).header().incarnation(),
                1,
                has.version(),
                has.epoch());
        ReachabilityView.WorkerChanges nothing =
                new ReachabilityView.WorkerChanges(1, 0, 0, List.of(), empty(), empty(), empty(), empty(), empty());
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

    private static RoaringBitmap empty() {
        return new RoaringBitmap();
    }

    /** Whatever links do, leadership is released within the stated bound, and somebody leads when they are mended. */
    @Property(tries = 40)
    void leadershipDoesNotWander(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
            @ForAll @Size(min = 5, max = 40) List<@IntRange(min = 0, max = 63) Integer> cuts,
            @ForAll @IntRange(min = 200, max = 4000) int periodMs) {
        ExampleHost host = new ExampleHost(seed, 9);
        host.lateCopies = 0.2;
        host.play(10);
        for (int cut : cuts) {
            host.passes = (from, to) -> !broken(cut, from, to) && !broken(cut, to, from);
            host.play(periodMs / 1000.0);
        }
        double seconds = cuts.size() * periodMs / 1000.0;
        for (ExampleHost.Member member : host.members.values()) {
            double bound = 2 + seconds / 20 + 1;
            assertTrue(member.released <= bound, member.released + " releases in " + seconds + " s");
        }
        host.passes = (from, to) -> true;
        host.play(15);
        assertTrue(host.leader() != null, "nobody leads with all links mended");
    }

    /** Each bit of the number breaks one kind of link of one controller. */
    private static boolean broken(int cut, String from, String to) {
        boolean a = from.equals("a");
        boolean b = from.equals("b");
        return a && (cut & 1) != 0 && to.startsWith("worker")
                || a && (cut & 2) != 0 && to.equals("b")
                || b && (cut & 4) != 0 && to.startsWith("worker")
                || b && (cut & 8) != 0 && to.equals("c")
                || a && (cut & 16) != 0 && to.equals("store")
                || b && (cut & 32) != 0 && to.equals("store");
    }

    /** The gate never opens on an answer of the state service that is older than its bound, nor during a handover. */
    @Property
    void theGateNeverOpensOnAnOldView(
            @ForAll Decision decision,
            @ForAll boolean leading,
            @ForAll boolean handingOver,
            @ForAll @LongRange(min = -1, max = 10_000) long storeAgeMs,
            @ForAll boolean many,
            @ForAll @LongRange(min = 0, max = 20_000) long manyMs) {
        Verdict verdict =
                new DecisionGate(A).check(decision, new LinkEvidence(leading, handingOver, storeAgeMs, many, manyMs));
        boolean mayOpen = leading && !handingOver && storeAgeMs >= 0 && storeAgeMs <= A.storeAnswerMaxAgeMs();
        assertFalse(verdict.allowed() && !mayOpen);
        assertTrue(verdict.allowed() || !verdict.reason().isEmpty());
        assertTrue(verdict.allowed() || verdict.retryAfterMs() > 0, "when to come back is always said");
        boolean patient = decision == Decision.SCALE_OUT || decision == Decision.PREEMPT;
        assertTrue(verdict.allowed() || !mayOpen || patient && many && manyMs < 4 * A.heartbeatIntervalMs());
    }

    /** A silence that lasts longer is never less suspect, whatever was measured. */
    @Property
    void suspicionGrowsWithSilence(
            @ForAll @Size(max = 200) List<@DoubleRange(min = 0, max = 5000) Double> intervals,
            @ForAll @DoubleRange(min = 0, max = 50_000) double silence,
            @ForAll @DoubleRange(min = 0, max = 50_000) double more) {
        PhiAccrualEstimator statistics = new PhiAccrualEstimator(1000);
        intervals.forEach(statistics::addInterval);
        double shorter = statistics.suspicionLevel(silence);
        assertTrue(shorter >= 0 && statistics.suspicionLevel(silence + more) >= shorter);
        double bound = statistics.timeoutMs(5);
        assertTrue(statistics.suspicionLevel(bound) >= 5 && bound > statistics.meanMs());
    }

    /** The order of controllers is total, and nobody is clearly better than who is clearly better than them. */
    @Property
    void suitabilityIsATotalOrder(
            @ForAll boolean storeA,
            @ForAll boolean storeB,
            @ForAll @DoubleRange(min = 0, max = 1) double shareA,
            @ForAll @DoubleRange(min = 0, max = 1) double shareB,
            @ForAll boolean busyA,
            @ForAll boolean busyB) {
        LeaderCandidate a = new LeaderCandidate("a", storeA, shareA, busyA, 1);
        LeaderCandidate b = new LeaderCandidate("b", storeB, shareB, busyB, 1);
        assertEquals(Integer.signum(a.compareTo(b)), -Integer.signum(b.compareTo(a)));
        assertTrue(a.compareTo(b) != 0);
        assertFalse(a.clearlyBetterThan(b) && b.clearlyBetterThan(a));
    }
}
