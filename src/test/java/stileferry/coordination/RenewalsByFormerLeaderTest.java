package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import stileferry.standin.Worker;

/**
 * Tests failovers in which the former leader, cut off together with its zone, goes on renewing the leases of the zone's
 * workers while the next leader hears old heartbeats of them.
 */
class RenewalsByFormerLeaderTest {
    private static final int LONG_TASKS = 24;

    private SimulatedCluster cluster;
    private ControllerNode formerLeader;
    private ControllerNode nextLeader;
    private String zone;
    private List<Worker> isolatedWorkers;

    /**
     * Starts long tasks, and as many short ones, which make room outside the zone when they end. Then cuts off the
     * leader with its zone, and delivers old heartbeats to the next leader.
     */
    @BeforeEach
    void isolateTheLeaderWithAZone() {
        cluster = SimulatedCluster.started(61, 9, 2, 0);
        cluster.submit(Workloads.array(1, LONG_TASKS, 300));
        cluster.submit(Workloads.array(2, LONG_TASKS, 24));
        cluster.runFor(25);
        assertEquals(2 * LONG_TASKS, cluster.tasks.running());
        formerLeader = cluster.leader();
        zone = cluster.machines.zoneOf(cluster.tasks.busyMachine());
        isolatedWorkers = cluster.workers.values().stream()
                .filter(worker -> worker.zone().equals(zone))
                .toList();
        List<JsonNode> oldHeartbeats = isolatedWorkers.stream()
                .map(worker -> (JsonNode) worker.heartbeat())
                .toList();
        cluster.faults.isolateZone(zone, formerLeader);
        cluster.runFor(3);
        nextLeader = leaderOtherThan(formerLeader);
        oldHeartbeats.forEach(heartbeat -> cluster.machines.deliverDuplicate(heartbeat, nextLeader));
    }

    /**
     * Guards against tasks that run twice: the lease of a worker was counted from an old heartbeat that the leader had
     * answered before the worker acknowledged its term, although the former leader had renewed the lease since.
     */
    @Test
    void aLeaseRenewedByTheFormerLeaderSinceAnOldHeartbeatIsNotTakenForExpired() {
        cluster.runFor(11); // over a lease since the old heartbeats
        endIsolationWithoutHeartbeats();
        cluster.runFor(30);
        assertTasksRunOnce();
    }

    /**
     * Guards against tasks that run twice after one more failover: the leader recorded the time of an old heartbeat as
     * that of the last renewal, and the next one took the lease for expired.
     */
    @Test
    void theRecordedLastHeartbeatCoversRenewalsByTheFormerLeader() {
        cluster.runFor(4);
        endIsolationWithoutHeartbeats();
        cluster.runFor(5); // the leader records the last heartbeats, before any lease can have expired
        isolatedWorkers.forEach(worker -> cluster.faults.partition(worker.address(), 25_000));
        nextLeader.crash();
        cluster.runFor(2.5);
        assertNotNull(cluster.leader());
        assertNotSame(nextLeader, cluster.leader());
        cluster.runFor(15); // less than the partition lasts, so the record alone proves that the leases expire
        assertTasksRunOnce();
    }

    private ControllerNode leaderOtherThan(ControllerNode other) {
        ControllerNode leader = cluster.controllers.values().stream()
                .filter(controller -> controller != other && controller.coordinator.leads())
                .findFirst()
                .orElseThrow();
        assertTrue(leader.coordinator.ready());
        return leader;
    }

    /** Ends the cut; heartbeats still reach no controller, so that commands alone show the next leader's term. */
    private void endIsolationWithoutHeartbeats() {
        isolatedWorkers.forEach(worker -> cluster.faults.heartbeatLoss.add(worker.address()));
        cluster.faults.endZoneIsolation(zone, formerLeader);
    }

    private void assertTasksRunOnce() {
        assertEquals(List.of(), cluster.violations);
        assertEquals(LONG_TASKS, cluster.tasks.running(), "tasks whose leases have expired must run elsewhere");
    }
}
