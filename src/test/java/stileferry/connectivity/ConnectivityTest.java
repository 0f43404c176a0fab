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
        ExampleHost.Controller formerLeader = host.leader();
        host.cutOffFromWorkers(formerLeader.name, true);
        host.runFor(10);
        assertNotEquals(formerLeader, host.leader());
        assertEquals(1, formerLeader.releases);
        host.cutOffFromWorkers(formerLeader.name, false);
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
        long releases = host.controllers.values().stream()
                .mapToLong(controller -> controller.releases)
                .sum();
        assertTrue(releases >= 3, "too few releases for the test to be meaningful: " + releases);
        assertTrue(releases <= 2 + 200 / 20 + 1, releases + " releases in 200 s");
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
        Connectivity connectivity = leaderOf(50);
        long lagMs = 20_000;
        connectivity.eventLoopLagMeasured(lagMs, true, 30_000 + lagMs);
        assertEquals(0, connectivity.snapshot(30_000 + lagMs).workers().suspect());
        connectivity.eventLoopLagMeasured(0, false, 30_000 + lagMs);
        assertEquals(
                50,
                connectivity.snapshot(30_000 + lagMs).workers().suspect(),
                "the same silence without lag makes all workers suspect");
    }

    /** Returns a leader whose workers have sent a heartbeat every second for 30 s. */
    private static Connectivity leaderOf(int workers) {
        Connectivity connectivity = new Connectivity(CONFIG, 1, 0);
        connectivity.elected(1, 0);
        for (int second = 1; second <= 30; second++) {
            for (int i = 0; i < workers; i++) {
                connectivity.heartbeatReceived(
                        new WorkerHeartbeat("w" + i, "addr" + i, 1, second, true), 1000L * second);
                connectivity.heartbeatAnswered("w" + i, 1000L * second);
            }
            connectivity.storeAnswered(1000L * second);
        }
        return connectivity;
    }

    @Test
    void duplicateAndOutOfOrderHeartbeatsAreRejected() {
        Connectivity connectivity = leaderOf(2);
        assertFalse(connectivity.heartbeatReceived(new WorkerHeartbeat("w0", "addr0", 1, 30, true), 40_000));
        assertFalse(connectivity.heartbeatReceived(new WorkerHeartbeat("w0", "addr0", 1, 2, true), 40_000));
        assertEquals(2, connectivity.snapshot(40_000).workers().suspect());
        assertTrue(
                connectivity.heartbeatReceived(new WorkerHeartbeat("w0", "addr0", 2, 1, true), 40_000),
                "the first heartbeat of a new incarnation must be accepted");
        assertEquals(1, connectivity.snapshot(40_000).workers().suspect());
    }

    /** Each error must name the argument, and none may change the state. */
    @Test
    void invalidInputIsRejectedAndChangesNothing() {
        Connectivity connectivity = leaderOf(3);
        ReachabilityView validView = connectivity.viewFor("b", 30_000);
        ConnectivitySnapshot before = connectivity.snapshot(30_000);
        assertRejected(connectivity, "now", target -> target.storeAnswered(-1));
        assertRejected(
                connectivity,
                "now",
                target -> target.heartbeatReceived(new WorkerHeartbeat("w9", "x", 1, 1, true), -5));
        assertRejected(connectivity, "peer", target -> target.peerRequestAnswered("nobody", 30_000));
        assertRejected(connectivity, "peer", target -> target.viewFor("a", 30_000));
        assertRejected(connectivity, "kind", target -> target.storeFailed(null, 30_000));
        assertRejected(connectivity, "worker", target -> target.workerRemoved("", 30_000));
        assertRejected(
                connectivity,
                "sequence",
                target -> target.heartbeatReceived(new WorkerHeartbeat("w0", "x", 1, -1, true), 30_000));
        assertRejected(connectivity, "decision", target -> target.permits(null, 30_000));
        assertRejected(connectivity, "lagMs", target -> target.eventLoopLagMeasured(-1, false, 30_000));
        assertRejected(connectivity, "term", target -> target.elected(0, 30_000));
        assertRejected(connectivity, "max", target -> target.takeDueProbes(-1, 30_000));
        assertRejected(connectivity, "view", target -> target.receive(null, 30_000));
        assertRejected(connectivity, "view", target -> ViewCodec.read(new byte[] {1, 2, 3}));
        assertRejected(connectivity, "peer", target -> target.receive(validView, 30_000)); // the controller's own view
        assertRejected(connectivity, "view", target -> target.receive(acknowledgingUnsentView(validView), 30_000));
        assertEquals(before, connectivity.snapshot(30_000));
        assertRejected(
                connectivity, "heartbeatIntervalMs", target -> new ConnectivityConfig("a", List.of(), 0, 10, 10));
        assertRejected(connectivity, "peers", target -> new ConnectivityConfig("a", List.of("a"), 10, 100, 10));
        assertRejected(connectivity, "workerShare", target -> new LeaderCandidate("a", true, 1.5, false, 0));
    }

    private static ReachabilityView acknowledgingUnsentView(ReachabilityView view) {
        ReachabilityView.Header header =
                new ReachabilityView.Header("b", 7, 1, 1, "", view.header().incarnation(), 1_000_000, 0, 0);
        return new ReachabilityView(header, view.senderHealth(), view.workers(), List.of(), null, 0);
    }

    private static void assertRejected(Connectivity connectivity, String argument, Consumer<Connectivity> call) {
        InvalidInputException error = assertThrows(InvalidInputException.class, () -> call.accept(connectivity));
        assertEquals(argument, error.argument(), error.getMessage());
    }

    /** Later versions may append fields, so unknown bytes at the end are ignored; every truncated view is rejected. */
    @Test
    void aViewWithUnknownTrailingFieldsIsDecoded() {
        ReachabilityView view = leaderOf(3).viewFor("b", 30_000);
        byte[] bytes = ViewCodec.write(view);
        byte[] extended = Arrays.copyOf(bytes, bytes.length + 9);
        assertEquals(view, ViewCodec.read(extended));
        for (int length = 0; length < bytes.length; length++) {
            byte[] truncated = Arrays.copyOf(bytes, length);
            assertThrows(InvalidInputException.class, () -> ViewCodec.read(truncated));
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
        Connectivity connectivity = leaderOf(workers);
        Connectivity peer = new Connectivity(CONFIG_OF_B, 2, 0);
        int largestBytes = 0;
        int views = 0;
        for (long now = 30_001; !peer.peerKnowsWorker("a", "w" + (workers - 1), now) && views < 100; now++) {
            byte[] bytes = ViewCodec.write(connectivity.viewFor("b", now));
            largestBytes = Math.max(largestBytes, bytes.length);
            views++;
            peer.receive(ViewCodec.read(bytes), now);
            connectivity.receive(peer.viewFor("a", now), now);
        }
        assertTrue(
                views <= workers / ViewBuilder.MAX_CHANGED_WORKERS + 3,
                views + " views until the peer knows all workers");
        assertTrue(largestBytes < 8 * 1024, largestBytes + " bytes in the largest view");
        int unchangedBytes = ViewCodec.write(connectivity.viewFor("b", 30_200)).length;
        assertTrue(unchangedBytes < 250, unchangedBytes + " bytes in a view without changes");
        connectivity.workerRemoved("w7", 30_201);
        assertTrue(
                ViewCodec.write(connectivity.viewFor("b", 30_202)).length < unchangedBytes + 80,
                "a view with a single change is too large");
        connectivity.storeAnswered(60_000);
        assertEquals(workers - 1, connectivity.snapshot(60_000).workers().suspect());
        int probes = connectivity.takeDueProbes(1000, 60_000).size();
        assertTrue(probes <= ProbePlanner.SAMPLE_SIZE, probes + " probes in one round");
        assertEquals(0, connectivity.takeDueProbes(1000, 60_001).size(), "the next round must not be due yet");
    }
}
