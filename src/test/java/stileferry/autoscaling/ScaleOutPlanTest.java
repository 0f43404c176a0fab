package stileferry.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import stileferry.cluster.ClusterState;
import stileferry.cluster.TestJob;
import stileferry.coordination.SimulatedCluster;
import stileferry.coordination.SimulatedEnvironment;
import stileferry.protocol.JobSpecBuilder;
import stileferry.protocol.MachineType;

/** Checks that machines are requested only for tasks that may start on them. */
class ScaleOutPlanTest {
    private static final MachineType BOX = new MachineType("box", 8, 0, 32, 50, 1, 1, 0.4, 10, List.of("za", "zb"));

    private final SimulatedCluster simulation = new SimulatedCluster(1); // red may use 40 CPUs
    private final ClusterState cluster = new ClusterState(simulation.controllers.get("n0").settings);

    private List<String> requestedPools(JobSpecBuilder job, Set<String> unreachableZones) {
        cluster.setMachineTypes(List.of(BOX));
        SimulatedEnvironment environment = simulation.controllers.get("n0").environment;
        ScaleOutPlan plan = new ScaleOutPlan(cluster, new ScaleOutBackOff(environment), unreachableZones, List.of());
        plan.add(TestJob.accepted(job.build(), 1, 0));
        return plan.batches(1).stream()
                .map(batch -> batch.get(0).zone())
                .sorted()
                .toList();
    }

    /** Guards against machines that are requested for a part of a gang that its team's limit does not admit. */
    @Test
    void noMachineIsRequestedForGangOfWhichOnlyAPartIsWithinItsTeamsLimit() {
        JobSpecBuilder gang = JobSpecBuilder.gang(1).team("red").tasks(6).cpus(8);
        assertEquals(List.of(), requestedPools(gang, Set.of()));
    }

    /** Guards against machines that are requested in a zone whose half of the tasks is there already. */
    @Test
    void machinesForSpreadTasksAreRequestedOnlyInZonesThatAdmitThem() {
        JobSpecBuilder service = JobSpecBuilder.service(1).tasks(4).cpus(8).spreadAcrossZones(true);
        assertEquals(List.of("za", "za", "zb", "zb"), requestedPools(service, Set.of()));
        assertEquals(List.of("za", "za"), requestedPools(service, Set.of("zb")));
    }

    /** Guards against machines in several zones that are requested for tasks which have to run in one. */
    @Test
    void machinesForTasksBoundToOneZoneAreRequestedInOneZone() {
        JobSpecBuilder array = JobSpecBuilder.array(1).tasks(2).cpus(8).oneZone(true);
        assertEquals(List.of("za", "za"), requestedPools(array, Set.of()));
    }
}
