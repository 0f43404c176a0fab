package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.LinkFaultCluster.LINK_MONITORING;
import static stileferry.coordination.LinkFaultCluster.assertRecovered;
import static stileferry.coordination.LinkFaultCluster.secondsToStart;
import static stileferry.coordination.LinkFaultCluster.taskEndsDuring;
import static stileferry.coordination.LinkFaultCluster.withLongJobs;
import static stileferry.coordination.SimulatedNetwork.WORKERS;
import static stileferry.coordination.Workloads.array;
import static stileferry.coordination.Workloads.service;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import stileferry.coordination.SimulatedNetwork.LinkFault;
import stileferry.protocol.Features;
import stileferry.protocol.PeerMessage;

/** Tests partial partitions: links between controllers, workers and the store fail in one or both directions. */
class PartialPartitionTest {
    /** Each controller may release leadership twice in a burst, and once more for every two leases of 10 s. */
    private static final long RELEASE_BURST = 2;

    private static final double RELEASE_INTERVAL_S = 20;

    @ParameterizedTest
    @EnumSource(LinkFault.class)
    void noTaskIsLostIfTheLeaderLosesOnlyTheStore(LinkFault fault) {
        SimulatedCluster cluster = withLongJobs(501, LINK_MONITORING);
        ControllerNode oldLeader = cluster.leader();
        cluster.network.injectFaultBothWays(oldLeader.name(), SimulatedCluster.STORE, fault);
        assertEquals(0, taskEndsDuring(cluster, 15), "no task may be lost");
        if (fault != LinkFault.DELAYED) {
            assertTrue(cluster.leader() != null && cluster.leader() != oldLeader, "another controller must lead");
        }
        assertTrue(secondsToStart(cluster, 50, 20) < 20, "new work must start");
        assertRecovered(cluster);
    }

    /** The leader must not stay in office with its followers forwarding every heartbeat to it. */
    @ParameterizedTest
    @EnumSource(
            value = LinkFault.class,
            names = {"LOST", "REFUSED"})
    void aLeaderThatReachesNoWorkerHandsLeadershipOver(LinkFault fault) {
        SimulatedCluster cluster = withLongJobs(502, LINK_MONITORING);
        ControllerNode oldLeader = cluster.leader();
        cluster.network.injectFaultBothWays(oldLeader.name(), WORKERS, fault);
        assertEquals(0, taskEndsDuring(cluster, 30), "no task may be lost");
        assertNotEquals(oldLeader, cluster.leader(), "leadership must move to a controller that reaches the workers");
        assertEquals(2, cluster.term());
        assertTrue(secondsToStart(cluster, 50, 20) < 6, "new work must start");
        assertRecovered(cluster);
    }

    /** The leader must not keep renewing the leader key while the leases of all workers expire. */
    @Test
    void aLeaderThatReachesOnlyTheStoreReleasesLeadership() {
        SimulatedCluster cluster = withLongJobs(503, LINK_MONITORING);
        ControllerNode oldLeader = cluster.leader();
        cluster.network.injectFaultBothWays(oldLeader.name(), WORKERS, LinkFault.LOST);
        cluster.peersOf(oldLeader)
                .forEach(n -> cluster.network.injectFaultBothWays(oldLeader.name(), n.name(), LinkFault.LOST));
        cluster.runFor(25);
        assertEquals(List.of(), cluster.violations);
        assertNotEquals(oldLeader, cluster.leader());
        assertTrue(secondsToStart(cluster, 50, 20) < 20, "new work must start");
        assertEquals(2, cluster.term());
        assertRecovered(cluster);
    }

    @Test
    void theLeaderStaysIfAPeerReachesOnlyTheOtherHalfOfTheWorkers() {
        SimulatedCluster cluster = withLongJobs(504, LINK_MONITORING);
        ControllerNode oldLeader = cluster.leader();
        ControllerNode peerOfOtherHalf = cluster.peersOf(oldLeader).get(0);
        ControllerNode third = cluster.peersOf(oldLeader).get(1);
        int index = 0;
        for (String addr : List.copyOf(cluster.workers.keySet())) {
            cluster.network.injectFaultBothWays(
                    index % 2 == 1 ? oldLeader.name() : peerOfOtherHalf.name(), addr, LinkFault.REFUSED);
            cluster.network.injectFaultBothWays(third.name(), addr, LinkFault.REFUSED);
            index++;
        }
        assertEquals(0, taskEndsDuring(cluster, 60), "no task may be lost, since the peer forwards heartbeats");
        assertEquals(oldLeader, cluster.leader(), "no peer reaches clearly more workers, so the leader stays");
        assertEquals(1, cluster.term());
        assertRecovered(cluster);
    }

    @Test
    void aLeaderWhoseResponsesAndCommandsAreLostIsReplaced() {
        SimulatedCluster cluster = withLongJobs(505, LINK_MONITORING);
        ControllerNode oldLeader = cluster.leader();
        cluster.network.injectFault(oldLeader.name(), WORKERS, LinkFault.LOST);
        cluster.runFor(40);
        assertEquals(List.of(), cluster.violations);
        assertNotEquals(oldLeader, cluster.leader());
        assertTrue(secondsToStart(cluster, 50, 20) < 6, "new work must start");
        assertRecovered(cluster);
    }

    @Test
    void aLeaderThatReceivesNoHeartbeatsIsReplaced() {
        SimulatedCluster cluster = withLongJobs(506, LINK_MONITORING);
        ControllerNode oldLeader = cluster.leader();
        cluster.network.injectFault(WORKERS, oldLeader.name(), LinkFault.REFUSED);
        assertEquals(0, taskEndsDuring(cluster, 80), "no task may be lost");
        assertNotEquals(oldLeader, cluster.leader());
        assertTrue(secondsToStart(cluster, 50, 20) < 6, "new work must start");
        assertRecovered(cluster);
    }

    @ParameterizedTest
    @EnumSource(LinkFault.class)
    void controllersPartitionedFromOneAnotherKeepTheirLeader(LinkFault fault) {
        SimulatedCluster cluster = withLongJobs(507, LINK_MONITORING);
        ControllerNode oldLeader = cluster.leader();
        for (ControllerNode node : cluster.controllers.values()) {
            cluster.peersOf(node).forEach(b -> cluster.network.injectFault(node.name(), b.name(), fault));
        }
        assertEquals(0, taskEndsDuring(cluster, 60), "no task may be lost");
        assertEquals(oldLeader, cluster.leader());
        assertEquals(1, cluster.term(), "no election may take place");
        SimulatedUser user = cluster.submit(service(60, 1, 1));
        cluster.runFor(25);
        assertTrue(user.startedAt > 0, "no task start may be withheld");
        assertRecovered(cluster);
    }

    /**
     * A follower that knows it can't forward requests to the leader rejects them immediately instead of timing out.
     */
    @Test
    void aFollowerThatCannotReachTheLeaderRejectsRequestsAtOnce() {
        SimulatedCluster cluster = withLongJobs(508, LINK_MONITORING);
        ControllerNode leader = cluster.leader();
        cluster.peersOf(leader).forEach(n -> cluster.network.injectFault(n.name(), leader.name(), LinkFault.LOST));
        cluster.runFor(8);
        ControllerNode follower = cluster.peersOf(leader).get(0);
        long sentAt = cluster.now;
        long[] tookMs = {-1};
        follower.environment.execute(() -> follower.coordinator.handleUserRequest(
                PeerMessage.RequestKind.STATUS, "job-6", new byte[0], response -> {
                    assertEquals(503, response.status());
                    assertTrue(response.retryAfterS() > 0);
                    tookMs[0] = cluster.now - sentAt;
                }));
        cluster.runFor(5);
        assertTrue(tookMs[0] >= 0 && tookMs[0] < 100, "rejected after " + tookMs[0] + " ms");
        assertRecovered(cluster);
    }

    /** One or two links flap; changes of leadership stay within the bound, and work continues. */
    @ParameterizedTest
    @CsvSource({
        "1,workers",
        "2,workers",
        "5,workers",
        "10,workers",
        "1,peers",
        "2,peers",
        "5,peers",
        "10,peers",
        "1,state",
        "2,state",
        "5,state",
        "10,state",
        "2,workers+peers",
        "5,workers+peers",
        "10,workers+peers",
        "5,workers+state",
        "10,state+peers"
    })
    void leadershipDoesNotFlapWithAFlappingLink(int periodS, String links) {
        SimulatedCluster cluster = withLongJobs(510 + periodS, LINK_MONITORING);
        ControllerNode oldLeader = cluster.leader();
        long termBefore = cluster.term();
        double seconds = 80;
        int submitted = 0;
        for (double at = 0; at < seconds; at += periodS) {
            boolean linksBroken = (int) Math.round(at / periodS) % 2 == 0;
            cluster.network.restoreAll();
            if (linksBroken) {
                breakLinks(cluster, oldLeader, links);
            }
            if (submitted < 8) {
                cluster.submit(array(100 + submitted++, 1, 1));
            }
            cluster.runFor(periodS);
            assertEquals(List.of(), cluster.violations);
        }
        long changes = cluster.term() - termBefore;
        double bound = links.contains("state")
                ? seconds / periodS // each lost leader lease leads to an election, whatever the state of the links
                : 3 * (RELEASE_BURST + seconds / RELEASE_INTERVAL_S);
        assertTrue(changes <= bound, changes + " changes of leadership, allowed are " + bound);
        assertRecovered(cluster);
        for (SimulatedUser user : cluster.users.values()) {
            assertTrue(
                    user.spec.estimateS() > 1 || user.spec.isService() || "done".equals(user.endState),
                    user.spec.id() + " must be done");
        }
    }

    private static void breakLinks(SimulatedCluster cluster, ControllerNode node, String links) {
        for (String link : links.split("\\+")) {
            switch (link) {
                case "workers" -> cluster.network.injectFaultBothWays(node.name(), WORKERS, LinkFault.LOST);
                case "state" ->
                    cluster.network.injectFaultBothWays(node.name(), SimulatedCluster.STORE, LinkFault.LOST);
                default ->
                    cluster.peersOf(node)
                            .forEach(n -> cluster.network.injectFaultBothWays(node.name(), n.name(), LinkFault.LOST));
            }
        }
    }

    @Test
    void theOnlyControllerThatReachesStoreAndWorkersLeads() {
        SimulatedCluster cluster = withLongJobs(530, LINK_MONITORING);
        ControllerNode leader = cluster.leader();
        ControllerNode second = cluster.peersOf(leader).get(0);
        ControllerNode third = cluster.peersOf(leader).get(1);
        cluster.network.injectFaultBothWays(leader.name(), WORKERS, LinkFault.LOST);
        cluster.network.injectFaultBothWays(second.name(), SimulatedCluster.STORE, LinkFault.LOST);
        cluster.network.injectFaultBothWays(third.name(), second.name(), LinkFault.LOST);
        assertEquals(0, taskEndsDuring(cluster, 40), "no task may be lost");
        assertEquals(
                third, cluster.leader(), "the only controller that reaches both the store and the workers must lead");
        assertTrue(secondsToStart(cluster, 50, 20) < 6, "new work must start");
        assertRecovered(cluster);
    }

    /** If no controller reaches the workers, the leader stays in office and serves users. */
    @Test
    void theLeaderStaysIfNoControllerReachesAnyWorker() {
        SimulatedCluster cluster = withLongJobs(531, LINK_MONITORING);
        ControllerNode leader = cluster.leader();
        cluster.controllers
                .values()
                .forEach(n -> cluster.network.injectFaultBothWays(n.name(), WORKERS, LinkFault.LOST));
        cluster.runFor(60);
        assertEquals(List.of(), cluster.violations);
        assertEquals(leader, cluster.leader(), "no peer has better links");
        SimulatedUser user = cluster.submit(array(70, 1, 1));
        cluster.runFor(5);
        assertTrue(user.accepted, "users must be served");
        assertRecovered(cluster);
    }

    /**
     * A machine whose heartbeats don't reach the leader, directly or through a peer, is not deleted before its lease
     * ends while another controller reaches it. Without link monitoring it is deleted.
     */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void aMachineThatOnlyTheLeaderCannotReachIsNotDeleted(boolean linkMonitoring) {
        SimulatedCluster cluster = withLongJobs(570, linkMonitoring ? LINK_MONITORING : Features.NONE);
        ControllerNode leader = cluster.leader();
        String machine = cluster.tasks.busyMachine();
        String addr = SimulatedMachines.address(machine);
        cluster.network.injectFaultBothWays(leader.name(), addr, LinkFault.LOST);
        cluster.peersOf(leader).forEach(n -> cluster.network.injectFault(addr, n.name(), LinkFault.REFUSED));
        int deletions = cluster.cloud.deletionRequestCount();
        cluster.runFor(9.5);
        assertEquals(
                linkMonitoring ? deletions : deletions + 1,
                cluster.cloud.deletionRequestCount(),
                "deletion requests before the lease ends");
        assertRecovered(cluster);
    }

    /** Duplicated heartbeats that arrive up to more than a lease late are ignored, whatever they report. */
    @Test
    void duplicatedHeartbeatsChangeNothing() {
        SimulatedCluster cluster = withLongJobs(580, LINK_MONITORING);
        cluster.faults.duplicateHeartbeatRate = 0.5;
        ControllerNode leader = cluster.leader();
        assertEquals(0, taskEndsDuring(cluster, 60), "no task may be lost");
        assertEquals(leader, cluster.leader());
        assertEquals(1, cluster.term());
        assertRecovered(cluster);
    }
}
