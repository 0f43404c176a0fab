package stileferry.scheduling;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.cluster.TestJob;
import stileferry.cluster.TestMachine;
import stileferry.cluster.TestSettings;
import stileferry.protocol.JobSpec;
import stileferry.protocol.JobSpecBuilder;
import stileferry.protocol.MachineType;
import stileferry.protocol.Settings;

/**
 * Base of tests of scheduling passes on a small cluster: machines of 8 CPUs in two zones, and two teams with a limit of
 * 16 CPUs each, of which 8 are red's quota and 2 are blue's.
 */
abstract class SchedulingTestCase {
    static final long NOW = 100_000;

    ClusterState cluster;
    Placement placement;
    Machine machine;
    private int jobCount;

    @BeforeEach
    void createClusterWithOneMachine() {
        Settings settings = TestSettings.with(
                List.of(new Settings.Team("red", 8, 16, 0, 0), new Settings.Team("blue", 2, 16, 0, 0)),
                new Settings.ServiceLevelObjective("wait", "swift", 0.5, 0.9));
        cluster = new ClusterState(settings);
        cluster.setMachineTypes(List.of(new MachineType("box", 8, 0, 32, 50, 1, 1, 0.4, 10, List.of("za", "zb"))));
        placement = new Placement(cluster);
        machine = addMachine("m");
    }

    Machine addMachine(String name) {
        return addMachine(name, "za");
    }

    Machine addMachine(String name, String zone) {
        Machine machine = cluster.getOrAddMachine(name);
        machine.setType(cluster.machineTypes().get(0));
        cluster.setZone(machine, zone);
        TestMachine.recordEmptyStatus(machine, NOW);
        cluster.freeCapacity().update(machine);
        return machine;
    }

    Job addJobFrom(JobSpecBuilder spec) {
        return addJobFrom(spec, 0);
    }

    Job addJobFrom(JobSpecBuilder spec, long submittedAt) {
        Job job = TestJob.accepted(spec.build(), jobCount, submittedAt);
        cluster.addJob(job);
        return job;
    }

    JobSpecBuilder nextSpec(String team, JobSpec.Kind kind, JobSpec.Priority priority, int tasks, double cpus) {
        return JobSpecBuilder.of(kind, "job-" + ++jobCount)
                .team(team)
                .priority(priority)
                .tasks(tasks)
                .cpus(cpus)
                .allowsSpot(true)
                .runS(60);
    }

    Job addJob(String team, JobSpec.Kind kind, JobSpec.Priority priority, int tasks, double cpus) {
        return addJobFrom(nextSpec(team, kind, priority, tasks, cpus));
    }

    Job addJobWithStartObjective(String team, JobSpec.Kind kind, JobSpec.Priority priority, int tasks, double cpus) {
        return addJobFrom(nextSpec(team, kind, priority, tasks, cpus).jobClass("swift"));
    }

    Job addUrgentGangInOneZone(int tasks) {
        return addJobFrom(nextSpec("red", JobSpec.Kind.GANG, JobSpec.Priority.URGENT, tasks, 2)
                .jobClass("swift")
                .oneZone(true)
                .allowsSpot(false));
    }

    TaskAssignment addRunningTask(Job job, long since) {
        return addRunningTask(job, machine, since);
    }

    TaskAssignment addRunningTask(Job job, Machine on, long since) {
        TaskAssignment assignment = new TaskAssignment(job, job.nextUnassignedTask(0), jobCount, on.name(), 1, since);
        assignment.markDurable();
        assignment.markStartSent();
        assignment.markRunning(since);
        cluster.assign(assignment);
        return assignment;
    }

    List<Preemption.PlannedPreemption> planPreemptions() {
        return planPreemptions(1000);
    }

    List<Preemption.PlannedPreemption> planPreemptions(long timeOfDay) {
        List<Job> waiting = placement.runPass(NOW, timeOfDay, false, (job, machines) -> {});
        return new Preemption(cluster, placement).plan(waiting, NOW, 60_000, timeOfDay);
    }
}
