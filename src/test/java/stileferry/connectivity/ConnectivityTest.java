package stileferry.connectivity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.validation.InvalidInputException;

/** The package as a host program uses it, without any other part of the service. */
class ConnectivityTest {
    private static final ConnectivityConfig CONFIG = new ConnectivityConfig("a", List.of("b", "c"), 1000, 10_000, 1500);

    @Test
    void aLeaderThatReachesNoWorkerHandsOver() {
        ExampleHost host = new ExampleHost(1, 40);
        host.play(20);
        ExampleHost.Member old = host.leader();
        host.cutFromWorkers(old.name, true);
        host.play(10);
        assertNotEquals(old, host.leader());
        assertEquals(1, old.released);
        host.cutFromWorkers(old.name, false);
        host.play(60);
        assertEquals(2, host.leaders.size(), "leadership does not go back by itself");
    }

    /** The worst that links can do: whoever leads is cut off. All hear of each handover, so one bound is for all. */
    @Test
    void leadershipDoesNotFollowACutThatFollowsIt() {
        ExampleHost host = new ExampleHost(3, 12);
        host.play(20);
        for (int t = 0; t < 200; t++) {
            if (host.leader() != null) {
                host.cutFromWorkers(host.leader().name, true);
            }
            host.play(1);
        }
        long released =
                host.members.values().stream().mapToLong(m -> m.released).sum();
        assertTrue(released >= 3, "it is handed over at all: " + released);
        assertTrue(released <= 2 + 200 / 20 + 1, released + " releases in 200 s");
    }

    @Test
    void aQuietHourKnowsNoFalseSuspicionThatMatters() {
        ExampleHost host = new ExampleHost(2, 40);
        host.play(3600);
        assertEquals(1, host.leaders.size());
        long reports = 40 * 3600;
        long suspicions =
                host.leader().connectivity.snapshot(host.now).counters().suspicions();
        assertTrue(suspicions * 10_000 < reports, suspicions + " suspicions in " + reports + " reports");
    }

    /** A process that is behind finds all timers late: that is no lost link. */
    @Test
    void ownLatenessIsNoLostLink() {
        Connectivity links = leaderOf(50);
        long late = 20_000;
        links.eventLoopLagMeasured(late, true, 30_000 + late);
        assertEquals(0, links.snapshot(30_000 + late).workers().suspect());
        links.eventLoopLagMeasured(0, false, 30_000 + late);
        assertEquals(50, links.snapshot(30_000 + late).workers().suspect(), "without that they are all suspect");
    }

    /** A leader whose workers have reported regularly until 30 s. */
    private static Connectivity leaderOf(int workers) {
        Connectivity links = new Connectivity(CONFIG, 1, 0);
        links.elected(1, 0);
        for (int t = 1; t <= 30; t++) {
            for (int i = 0; i < workers; i++) {
                links.heartbeatReceived(new WorkerHeartbeat("w" + i, "addr" + i, 1, t, true), 1000L * t);
                links.heartbeatAnswered("w" + i, 1000L * t);
            }
            links.storeAnswered(1000L * t);
        }
        return links;
    }

    @Test
    void copiesOfReportsAreNoSignOfLife() {
        Connectivity links = leaderOf(2);
        assertFalse(links.heartbeatReceived(new WorkerHeartbeat("w0", "addr0", 1, 30, true), 40_000));
        assertFalse(links.heartbeatReceived(new WorkerHeartbeat("w0", "addr0", 1, 2, true), 40_000));
        assertEquals(2, links.snapshot(40_000).workers().suspect());
        assertTrue(links.heartbeatReceived(new WorkerHeartbeat("w0", "addr0", 2, 1, true), 40_000), "a new session");
        assertEquals(1, links.snapshot(40_000).workers().suspect());
    }

    /** Input that can't be right names the argument and changes nothing. */
    @Test
    void wrongInputChangesNothing() {
        Connectivity links = leaderOf(3);
        ReachabilityView good = links.viewFor("b", 30_000);
        ConnectivitySnapshot before = links.snapshot(30_000);
        refused(links, "now", l -> l.storeAnswered(-1));
        refused(links, "now", l -> l.heartbeatReceived(new WorkerHeartbeat("w9", "x", 1, 1, true), -5));
        refused(links, "peer", l -> l.peerRequestAnswered("nobody", 30_000));
        refused(links, "peer", l -> l.viewFor("a", 30_000));
        refused(links, "kind", l -> l.storeFailed(null, 30_000));
        refused(links, "worker", l -> l.workerRemoved("", 30_000));
        refused(links, "sequence", l -> l.heartbeatReceived(new WorkerHeartbeat("w0", "x", 1, -1, true), 30_000));
        refused(links, "decision", l -> l.permits(null, 30_000));
        refused(links, "lagMs", l -> l.eventLoopLagMeasured(-1, false, 30_000));
        refused(links, "term", l -> l.elected(0, 30_000));
        refused(links, "max", l -> l.takeDueProbes(-1, 30_000));
        refused(links, "view", l -> l.receive(null, 30_000));
        refused(links, "view", l -> ViewCodec.read(new byte[] {1, 2, 3}));
        refused(links, "peer", l -> l.receive(good, 30_000)); // its own view
        refused(links, "view", l -> l.receive(fromTheFuture(good), 30_000));
        assertEquals(before, links.snapshot(30_000));
        refused(links, "heartbeatIntervalMs", l -> new ConnectivityConfig("a", List.of(), 0, 10, 10));
        refused(links, "peers", l -> new ConnectivityConfig("a", List.of("a"), 10, 100, 10));
        refused(links, "workerShare", l -> new LeaderCandidate("a", true, 1.5, false, 0));
    }

    private static ReachabilityView fromTheFuture(ReachabilityView view) {
        ReachabilityView.Header header =
                new ReachabilityView.Header("b", 7, 1, 1, "", view.header().incarnation(), 1_000_000, 0, 0);
        return new ReachabilityView(header, view.senderHealth(), view.workers(), List.of(), null, 0);
    }

    private static void refused(Connectivity links, String argument, Consumer<Connectivity> call) {
        InvalidInputException e = assertThrows(InvalidInputException.class, () -> call.accept(links));
        assertEquals(argument, e.argument(), e.getMessage());
    }

    /** What follows the known fields is of a later version. */
    @Test
    void aLongerViewIsRead() {
        ReachabilityView view = leaderOf(3).viewFor("b", 30_000);
        byte[] bytes = ViewCodec.write(view);
        byte[] longer = java.util.Arrays.copyOf(bytes, bytes.length + 9);
        assertEquals(view, ViewCodec.read(longer));
        for (int length = 0; length < bytes.length; length++) {
            byte[] shorter = java.util.Arrays.copyOf(bytes, length);
            assertThrows(InvalidInputException.class, () -> ViewCodec.read(shorter));
        }
    }

    /** A process that is back at once with a clock that went back is heard all the same. */
    @Test
    void aFormerLifeWithAClockAheadDoesNotSilenceTheNextOne() {
        Connectivity a = new Connectivity(CONFIG, 1000, 0);
        Connectivity first = new Connectivity(new ConnectivityConfig("b", List.of("a"), 1000, 10_000, 1500), 900, 0);
        a.receive(first.viewFor("a", 0), 0);
        Connectivity second = new Connectivity(new ConnectivityConfig("b", List.of("a"), 1000, 10_000, 1500), 880, 0);
        a.receive(second.viewFor("a", 10), 10);
        second.receive(a.viewFor("b", 20), 20); // it says whom it takes for the newest
        a.receive(second.viewFor("a", 30), 30);
        second.receive(a.viewFor("b", 40), 40);
        a.receive(second.viewFor("a", 50), 50);
        assertTrue(a.snapshot(60).peers().get(0).viewAgeMs() >= 0, "its view is dated again");
    }

    /** What a view and a probe round cost does not grow with the fleet once it is known. */
    @ParameterizedTest
    @ValueSource(ints = {500, 4200})
    void viewsAndProbesAreBoundedOnALargeFleet(int workers) {
        Connectivity links = leaderOf(workers);
        Connectivity peer = new Connectivity(new ConnectivityConfig("b", List.of("a"), 1000, 10_000, 1500), 2, 0);
        int largest = 0;
        int views = 0;
        for (long t = 30_001; peer.peerKnowsWorker("a", "w" + (workers - 1), t) == false && views < 100; t++) {
            byte[] bytes = ViewCodec.write(links.viewFor("b", t));
            largest = Math.max(largest, bytes.length);
            views++;
            peer.receive(ViewCodec.read(bytes), t);
            links.receive(peer.viewFor("a", t), t);
        }
        assertTrue(views <= workers / ViewBuilder.MAX_WORKERS + 3, views + " views for a whole fleet");
        assertTrue(largest < 8 * 1024, largest + " bytes");
        int unchanged = ViewCodec.write(links.viewFor("b", 30_200)).length;
        assertTrue(unchanged < 250, unchanged + " bytes when nothing changed");
        links.workerRemoved("w7", 30_201);
        assertTrue(ViewCodec.write(links.viewFor("b", 30_202)).length < unchanged + 80, "one change");
        links.storeAnswered(60_000);
        assertEquals(workers - 1, links.snapshot(60_000).workers().suspect());
        int probes = links.takeDueProbes(1000, 60_000).size();
        assertTrue(probes <= ProbePlanner.SAMPLE_SIZE, probes + " probes in a round");
        assertEquals(0, links.takeDueProbes(1000, 60_001).size(), "the next round has its time");
    }
}
