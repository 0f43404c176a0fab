package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import stileferry.protocol.JobSpec;

/** Leases of workers while the key-value store is down, so that nobody can be elected. */
class LeaderlessLeaseRenewalTest {
    /** Who crashes during the outage. */
    enum Crash {
        LEADER,
        FOLLOWER,
        NOBODY,
        ALL
    }

    /**
     * Two processes that know of every cancellation are enough to renew leases. When all have ended, nobody knows which
     * jobs were cancelled, so leases must expire.
     */
    @ParameterizedTest
    @EnumSource(Crash.class)
    void tasksSurviveAStoreOutageWithAControllerCrash(Crash crash) {
        SimulatedCluster cluster = withServices();
        int running = cluster.tasks.starts - cluster.tasks.ends;
        int ended = cluster.tasks.ends;
        assertTrue(running > 3, "too little runs: " + running);
        SimulatedUser cancelled = cluster.users.values().stream()
                .filter(u -> cluster.tasks.running(u) > 0)
                .findFirst()
                .orElseThrow();
        long gone = cluster.tasks.running(cancelled);
        cluster.tasks // so its stops come from another controller than the leader
                .machinesOf(cancelled)
                .forEach(m -> cluster.faults.inboundLoss.add(SimulatedMachines.address(m)));
        cluster.cancel(cancelled);
        cluster.runFor(0.5);
        assertTrue(cancelled.cancelConfirmedAt > 0, "not confirmed");
        cluster.faults.storeDown = true;
        cluster.runFor(1);
        crashing(cluster, crash).forEach(n -> cluster.faults.restart(n, 4000));
        cluster.runFor(2);
        cluster.faults.inboundLoss.clear();
        cluster.runFor(58); // six leases
        assertEquals(0, cluster.tasks.running(cancelled));
        assertEquals(crash == Crash.ALL ? ended + running : ended + gone, cluster.tasks.ends, "tasks that ended");
        cluster.faults.endStoreOutage();
        cluster.runFor(20);
        assertEquals(running - gone, cluster.tasks.starts - cluster.tasks.ends);
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

    private static List<ControllerNode> crashing(SimulatedCluster cluster, Crash crash) {
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
