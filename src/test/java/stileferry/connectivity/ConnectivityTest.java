package stileferry.connectivity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.validation.InvalidInputException;

/** Tests the package as a host program uses it, without any other package of the service. */
class ConnectivityTest {
    private static final ConnectivityConfig CONFIG = new ConnectivityConfig("a", List.of("b", "c"), 1000, 10_000, 1500);
    private static final ConnectivityConfig CONFIG_OF_B = new ConnectivityConfig("b", List.of("a"), 1000, 10_000, 1500);

    @Test
    void aLeaderCutOffFromAllWorkersHandsOver() {
        ExampleHost host = new ExampleHost(1, 40);
        host.runFor(20);
        ExampleHost.Controller old = host.leader();
        host.cutOffFromWorkers(old.name, true);
        host.runFor(10);
        assertNotEquals(old, host.leader());
        assertEquals(1, old.releases);
        host.cutOffFromWorkers(old.name, false);
        host.runFor(60);
        assertEquals(2, host.electedLeaders.size(), "the leadership must not return once the links recover");
    }

    /**
     * Each leader in turn loses all its workers. All controllers count every handover, so they share one rate limit.
     */
    @Test
    void handoversAreRateLimitedWhenEveryLeaderIsCutOff() {
        ExampleHost host = new ExampleHost(3, 12);
        host.runFor(20);
        for (int second = 0; second < 200; second++) {
            if (host.leader() != null) {
                host.cutOffFromWorkers(host.leader().name, true);
            }
            host.runFor(1);
        }
        long released = host.controllers.values().stream()
                .mapToLong(controller -> controller.releases)
                .sum();
        assertTrue(released >= 3, "too few releases for the test to be meaningful: " + released);
        assertTrue(released <= 2 + 200 / 20 + 1, released + " releases in 200 s");
    }

    @Test
    void falseSuspicionsAreRareWithoutFaults() {
        ExampleHost host = new ExampleHost(2, 40);
        host.runFor(3600);
        assertEquals(1, host.electedLeaders.size());
        long heartbeats = 40 * 3600;
        long suspicions =
                host.leader().connectivity.snapshot(host.now).counters().suspicions();
        assertTrue(suspicions * 10_000 < heartbeats, suspicions + " suspicions in " + heartbeats + " heartbeats");
    }

    /** Silence that may be due to this process's own event-loop lag must not make workers suspect. */
    @Test
    void eventLoopLagDoesNotMakeWorkersSuspect() {
        Connectivity links = leaderOf(50);
        long lagMs = 20_000;
        links.eventLoopLagMeasured(lagMs, true, 30_000 + lagMs);
        assertEquals(0, links.snapshot(30_000 + lagMs).workers().suspect());
        links.eventLoopLagMeasured(0, false, 30_000 + lagMs);
        assertEquals(
                50,
                links.snapshot(30_000 + lagMs).workers().suspect(),
                "the same silence without lag makes all workers suspect");
    }

    /** Returns a leader whose workers have sent a heartbeat every second for 30 s. */
    private static Connectivity leaderOf(int workers) {
        Connectivity links = new Connectivity(CONFIG, 1, 0);
        links.elected(1, 0);
        for (int second = 1; second <= 30; second++) {
            for (int i = 0; i < workers; i++) {
                links.heartbeatReceived(new WorkerHeartbeat("w" + i, "addr" + i, 1, second, true), 1000L * second);
                links.heartbeatAnswered("w" + i, 1000L * second);
            }
            links.storeAnswered(1000L * second);
        }
        return links;
    }

    @Test
    void duplicateAndOutOfOrderHeartbeatsAreRejected() {
        Connectivity links = leaderOf(2);
        assertFalse(links.heartbeatReceived(new WorkerHeartbeat("w0", "addr0", 1, 30, true), 40_000));
        assertFalse(links.heartbeatReceived(new WorkerHeartbeat("w0", "addr0", 1, 2, true), 40_000));
        assertEquals(2, links.snapshot(40_000).workers().suspect());
        assertTrue(
                links.heartbeatReceived(new WorkerHeartbeat("w0", "addr0", 2, 1, true), 40_000),
                "the first heartbeat of a new incarnation must be accepted");
        assertEquals(1, links.snapshot(40_000).workers().suspect());
    }

    /** Each error must name the argument, and none may change the state. */
    @Test
    void invalidInputIsRejectedAndChangesNothing() {
        Connectivity links = leaderOf(3);
        ReachabilityView good = links.viewFor("b", 30_000);
        ConnectivitySnapshot before = links.snapshot(30_000);
        assertRejected(links, "now", self -> self.storeAnswered(-1));
        assertRejected(links, "now", self -> self.heartbeatReceived(new WorkerHeartbeat("w9", "x", 1, 1, true), -5));
        assertRejected(links, "peer", self -> self.peerRequestAnswered("nobody", 30_000));
        assertRejected(links, "peer", self -> self.viewFor("a", 30_000));
        assertRejected(links, "kind", self -> self.storeFailed(null, 30_000));
        assertRejected(links, "worker", self -> self.workerRemoved("", 30_000));
        assertRejected(
                links, "sequence", self -> self.heartbeatReceived(new WorkerHeartbeat("w0", "x", 1, -1, true), 30_000));
        assertRejected(links, "decision", self -> self.permits(null, 30_000));
        assertRejected(links, "lagMs", self -> self.eventLoopLagMeasured(-1, false, 30_000));
        assertRejected(links, "term", self -> self.elected(0, 30_000));
        assertRejected(links, "max", self -> self.takeDueProbes(-1, 30_000));
        assertRejected(links, "view", self -> self.receive(null, 30_000));
        assertRejected(links, "view", self -> ViewCodec.read(new byte[] {1, 2, 3}));
        assertRejected(links, "peer", self -> self.receive(good, 30_000)); // the controller's own view
        assertRejected(links, "view", self -> self.receive(acknowledgingUnsentView(good), 30_000));
        assertEquals(before, links.snapshot(30_000));
        assertRejected(links, "heartbeatIntervalMs", self -> new ConnectivityConfig("a", List.of(), 0, 10, 10));
        assertRejected(links, "peers", self -> new ConnectivityConfig("a", List.of("a"), 10, 100, 10));
        assertRejected(links, "workerShare", self -> new LeaderCandidate("a", true, 1.5, false, 0));
    }

    private static ReachabilityView acknowledgingUnsentView(ReachabilityView view) {
        ReachabilityView.Header header =
                new ReachabilityView.Header("b", 7, 1, 1, "", view.header().incarnation(), 1_000_000, 0, 0);
        return new ReachabilityView(header, view.senderHealth(), view.workers(), List.of(), null, 0);
    }

    private static void assertRejected(Connectivity links, String argument, Consumer<Connectivity> call) {
        InvalidInputException error = assertThrows(InvalidInputException.class, () -> call.accept(links));
        assertEquals(argument, error.argument(), error.getMessage());
    }

    /** Later versions may append fields, so unknown bytes at the end are ignored; every truncated view is rejected. */
    @Test
    void aViewWithUnknownTrailingFieldsIsDecoded() {
        ReachabilityView view = leaderOf(3).viewFor("b", 30_000);
        byte[] bytes = ViewCodec.write(view);
        byte[] longer = Arrays.copyOf(bytes, bytes.length + 9);
        assertEquals(view, ViewCodec.read(longer));
        for (int length = 0; length < bytes.length; length++) {
            byte[] shorter = Arrays.copyOf(bytes, length);
            assertThrows(InvalidInputException.class, () -> ViewCodec.read(shorter));
        }
    }

    /**
     * The clock is set back between two processes of a controller, so the second one starts with a lower incarnation
     * and its views look stale. It must raise its incarnation above the one that the peer acknowledges.
     */
    @Test
    void viewsAreAcceptedAgainAfterARestartWithALowerIncarnation() {
        Connectivity peer = new Connectivity(CONFIG, 1000, 0);
        Connectivity former = new Connectivity(CONFIG_OF_B, 900, 0);
        peer.receive(former.viewFor("a", 0), 0);
        Connectivity restarted = new Connectivity(CONFIG_OF_B, 880, 0);
        peer.receive(restarted.viewFor("a", 10), 10);
        restarted.receive(peer.viewFor("b", 20), 20); // this view acknowledges the former incarnation
        peer.receive(restarted.viewFor("a", 30), 30);
        restarted.receive(peer.viewFor("b", 40), 40);
        peer.receive(restarted.viewFor("a", 50), 50);
        assertTrue(
                peer.snapshot(60).peers().get(0).viewAgeMs() >= 0,
                "no view of the restarted controller has been merged");
    }

    /** Once a peer knows all workers, the sizes of views and probe rounds must not grow with the number of workers. */
    @ParameterizedTest
    @ValueSource(ints = {500, 4200})
    void viewsAndProbeRoundsAreBoundedOnALargeFleet(int workers) {
        Connectivity links = leaderOf(workers);
        Connectivity peer = new Connectivity(CONFIG_OF_B, 2, 0);
        int largest = 0;
        int views = 0;
        for (long now = 30_001; !peer.peerKnowsWorker("a", "w" + (workers - 1), now) && views < 100; now++) {
            byte[] bytes = ViewCodec.write(links.viewFor("b", now));
            largest = Math.max(largest, bytes.length);
            views++;
            peer.receive(ViewCodec.read(bytes), now);
            links.receive(peer.viewFor("a", now), now);
        }
        assertTrue(
                views <= workers / ViewBuilder.MAX_CHANGED_WORKERS + 3,
                views + " views until the peer knows all workers");
        assertTrue(largest < 8 * 1024, largest + " bytes in the largest view");
        int unchanged = ViewCodec.write(links.viewFor("b", 30_200)).length;
        assertTrue(unchanged < 250, unchanged + " bytes in a view without changes");
        links.workerRemoved("w7", 30_201);
        assertTrue(
                ViewCodec.write(links.viewFor("b", 30_202)).length < unchanged + 80,
                "a view with a single change is too large");
        links.storeAnswered(60_000);
        assertEquals(workers - 1, links.snapshot(60_000).workers().suspect());
        int probes = links.takeDueProbes(1000, 60_000).size();
        assertTrue(probes <= ProbePlanner.SAMPLE_SIZE, probes + " probes in one round");
        assertEquals(0, links.takeDueProbes(1000, 60_001).size(), "the next round must not be due yet");
    }
}
