package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that confirmed cancellations persist through later failures of controllers and of the key-value store. */
class CancellationUnderFaultsTest {
    /** The fault that isolates the first leader, so that another one is elected. */
    enum LeaderFault {
        REJECTED_BY_STORE,
        REJECTED_BY_STORE_AND_PEERS,
        PARTITIONED
    }

    /** A second fault, in addition to the outage of the key-value store. */
    enum SecondFault {
        NONE,
        NEXT_LEADER_RESTARTS,
        STOPS_ARE_LOST
    }

    /**
     * The key-value store rejects the leader, or the leader reaches neither the store nor the other controllers. A new
     * leader confirms cancellations; then the store is down for longer than cancel_s, while workers still send
     * heartbeats to the same controller as before. Guards against an old leader that renews leases without knowing of
     * the cancellations, and against a new one that sends no stop commands because it can't be sure that it still
     * leads.
     */
    @ParameterizedTest
    @CsvSource({
        "101,REJECTED_BY_STORE,NONE",
        "102,PARTITIONED,NONE",
        "103,PARTITIONED,NEXT_LEADER_RESTARTS",
        "104,REJECTED_BY_STORE,NEXT_LEADER_RESTARTS",
        "105,REJECTED_BY_STORE_AND_PEERS,NONE",
        "106,PARTITIONED,STOPS_ARE_LOST",
        "107,REJECTED_BY_STORE,STOPS_ARE_LOST",
        "108,REJECTED_BY_STORE_AND_PEERS,NEXT_LEADER_RESTARTS"
    })
    void cancellationsConfirmedByANewLeaderHoldThroughAStoreOutage(
            long seed, LeaderFault leaderFault, SecondFault secondFault) {
        SimulatedCluster cluster = BusyCluster.withLongJobs(seed);
        FaultInjection faults = cluster.faults;
        ControllerNode oldLeader = cluster.leader();
        isolate(cluster, oldLeader, leaderFault);
        cluster.runFor(4);
        ControllerNode newLeader = cluster.controllers.values().stream()
                .filter(n -> n != oldLeader && n.coordinator.leads())
                .findFirst()
                .orElseThrow();
        if (secondFault == SecondFault.STOPS_ARE_LOST) {
            loseStopCommands(cluster, 6000);
        }
        cancelArrays(cluster);
        cluster.runFor(1.2);
        checkConfirmations(cluster, leaderFault);
        faults.storeOutage(30_000);
        if (secondFault == SecondFault.NEXT_LEADER_RESTARTS) {
            faults.restart(newLeader, 3000);
        }
        cluster.after(14_000, () -> {
            faults.rejectedByStore.clear();
            faults.partitionedFromControlPlane.clear();
            faults.peerConnectionsRefused = false;
        });
        cluster.runFor(45);
        assertEquals(List.of(), cluster.violations);
        BusyCluster.assertRecovers(cluster);
    }

    private static void isolate(SimulatedCluster cluster, ControllerNode leader, LeaderFault fault) {
        if (fault == LeaderFault.PARTITIONED) {
            cluster.faults.partitionedFromControlPlane.add(leader.name());
        } else {
            cluster.faults.rejectedByStore.add(leader.name());
            cluster.faults.peerConnectionsRefused = fault == LeaderFault.REJECTED_BY_STORE_AND_PEERS;
        }
    }

    /** Loses all messages to machines with tasks, stop commands included; their heartbeats still arrive. */
    private static void loseStopCommands(SimulatedCluster cluster, long ms) {
        for (SimulatedUser user : cluster.users.values()) {
            cluster.tasks.machinesOf(user).forEach(m -> cluster.faults.inboundLoss.add(SimulatedMachines.address(m)));
        }
        cluster.after(ms, cluster.faults.inboundLoss::clear);
    }

    private static void cancelArrays(SimulatedCluster cluster) {
        for (int i = 0; i < 5; i++) {
            cluster.cancel(cluster.users.get("job-" + i));
        }
    }

    /**
     * If the other controllers could not be informed, only cancellations of jobs without running tasks are confirmed.
     */
    private static void checkConfirmations(SimulatedCluster cluster, LeaderFault fault) {
        List<SimulatedUser> confirmed = cluster.users.values().stream()
                .filter(u -> u.cancelConfirmedAt > 0)
                .toList();
        if (fault == LeaderFault.REJECTED_BY_STORE_AND_PEERS) {
            confirmed.forEach(u -> assertEquals(0, cluster.tasks.running(u), u.spec.id()));
        } else {
            assertTrue(!confirmed.isEmpty(), "no cancellation was confirmed");
        }
    }
}
