package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import stileferry.protocol.JobSpec;

/** Tests the renewal of workers' leases while the key-value store is down, so that no leader can be elected. */
class LeaderlessLeaseRenewalTest {
    /** The controllers that crash during the outage. */
    enum Crash {
        LEADER,
        FOLLOWER,
        NOBODY,
        ALL
    }

    /**
     * Two controller processes that know all cancellations are enough to renew leases. After all processes have
     * crashed, no controller knows which jobs were cancelled, so leases must expire.
     */
    @ParameterizedTest
    @EnumSource(Crash.class)
    void tasksSurviveAStoreOutageWithAControllerCrash(Crash crash) {
        SimulatedCluster cluster = withServices();
        int running = cluster.tasks.starts - cluster.tasks.ends;
        int endsBefore = cluster.tasks.ends;
        assertTrue(running > 3, "too few running tasks: " + running);
        SimulatedUser cancelled = cluster.users.values().stream()
                .filter(u -> cluster.tasks.running(u) > 0)
                .findFirst()
                .orElseThrow();
        long cancelledTasks = cluster.tasks.running(cancelled);
        cluster.tasks // so that another controller than the leader sends the stop commands
                .machinesOf(cancelled)
                .forEach(m -> cluster.faults.inboundLoss.add(SimulatedMachines.address(m)));
        cluster.cancel(cancelled);
        cluster.runFor(0.5);
        assertTrue(cancelled.cancelConfirmedAt > 0, "the cancellation was not confirmed");
        cluster.faults.storeDown = true;
        cluster.runFor(1);
        controllersToCrash(cluster, crash).forEach(n -> cluster.faults.restart(n, 4000));
        cluster.runFor(2);
        cluster.faults.inboundLoss.clear();
        cluster.runFor(58); // six leases
        assertEquals(0, cluster.tasks.running(cancelled));
        assertEquals(
                crash == Crash.ALL ? endsBefore + running : endsBefore + cancelledTasks,
                cluster.tasks.ends,
                "number of tasks that ended");
        cluster.faults.endStoreOutage();
        cluster.runFor(20);
        assertEquals(running - cancelledTasks, cluster.tasks.starts - cluster.tasks.ends);
        assertEquals(List.of(), cluster.violations);
    }

    private static SimulatedCluster withServices() {
        SimulatedCluster cluster = SimulatedCluster.started(12);
        SplittableRandom random = cluster.random.split();
        for (int i = 0; i < 40; i++) {
            JobSpec spec = Workloads.random(i, random);
            if (spec.isService()) {
                cluster.submit(spec);
            }
        }
        cluster.runFor(30);
        return cluster;
    }

    private static List<ControllerNode> controllersToCrash(SimulatedCluster cluster, Crash crash) {
        ControllerNode leader = cluster.leader();
        List<ControllerNode> all = List.copyOf(cluster.controllers.values());
        List<ControllerNode> followers = all.stream().filter(n -> n != leader).toList();
        return switch (crash) {
            case LEADER -> leader == null ? List.of() : List.of(leader);
            case FOLLOWER -> List.of(followers.get(0));
            case NOBODY -> List.of();
            case ALL -> all;
        };
    }
}
