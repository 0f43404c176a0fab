package stileferry.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
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

/** Whose tasks are preempted for whom, and where. */
class PreemptionTest {
    private static final long NOW = 100_000;

    private ClusterState cluster;
    private Placement placement;
    private Machine machine;
    private int jobs;

    @BeforeEach
    void oneMachine() {
        Settings settings = TestSettings.with(
                List.of(new Settings.Team("red", 8, 16, 0, 0), new Settings.Team("blue", 2, 16, 0, 0)),
                new Settings.ServiceLevelObjective("wait", "swift", 0.5, 0.9));
        cluster = new ClusterState(settings);
        cluster.setMachineTypes(List.of(new MachineType("box", 8, 0, 32, 50, 1, 1, 0.4, 10, List.of("za", "zb"))));
        placement = new Placement(cluster);
        machine = machine("m");
    }

    private Machine machine(String name) {
        return machine(name, "za");
    }

    private Machine machine(String name, String zone) {
        Machine machine = cluster.getOrAddMachine(name);
        machine.setType(cluster.machineTypes().get(0));
        cluster.setZone(machine, zone);
        TestMachine.recordEmptyStatus(machine, NOW);
        cluster.freeCapacity().update(machine);
        return machine;
    }

    private Job add(JobSpecBuilder spec) {
        Job job = TestJob.accepted(spec.build(), jobs, 0);
        cluster.addJob(job);
        return job;
    }

    private JobSpecBuilder next(String team, JobSpec.Kind kind, JobSpec.Priority priority, int tasks, double cpus) {
        return JobSpecBuilder.of(kind, "job-" + ++jobs)
                .team(team)
                .priority(priority)
                .tasks(tasks)
                .cpus(cpus)
                .allowsSpot(true)
                .runS(60);
    }

    private Job job(String team, JobSpec.Kind kind, JobSpec.Priority priority, int tasks, double cpus) {
        return add(next(team, kind, priority, tasks, cpus));
    }

    private Job swiftJob(String team, JobSpec.Kind kind, JobSpec.Priority priority, int tasks, double cpus) {
        return add(next(team, kind, priority, tasks, cpus).jobClass("swift"));
    }

    private Job urgentGangInOneZone(int tasks) {
        return add(next("red", JobSpec.Kind.GANG, JobSpec.Priority.URGENT, tasks, 2)
                .jobClass("swift")
                .oneZone(true)
                .allowsSpot(false));
    }

    private TaskAssignment run(Job job, long since) {
        TaskAssignment assignment = new TaskAssignment(job, job.nextUnassignedTask(0), jobs, "m", 1, since);
        assignment.markDurable();
        assignment.markStartSent();
        assignment.markRunning(since);
        cluster.assign(assignment);
        return assignment;
    }

    private List<Preemption.Stop> decide() {
        List<Job> waiting = placement.pass(NOW, 1000, false, (job, machines) -> {});
        return new Preemption(cluster, placement).decide(waiting, NOW, 60_000, 1000);
    }

    @Test
    void theLeastLostWorkIsPreemptedFirst() {
        Job idle = job("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.IDLE, 2, 4);
        run(idle, 10_000);
        TaskAssignment young = run(idle, 90_000);
        job("blue", JobSpec.Kind.SERVICE, JobSpec.Priority.CRITICAL, 1, 2);
        List<Preemption.Stop> stops = decide();
        assertEquals(1, stops.size(), "one is enough");
        assertEquals(young, stops.get(0).victim());
        assertEquals(0, stops.get(0).graceS(), "critical work does not wait for others to save");
    }

    /** Services must not start late by pulling their image while idle work runs on machines that hold it. */
    @Test
    void aCriticalTaskPreemptsWhereItsImageIs() {
        machine.cacheImage("img", 1);
        run(job("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.IDLE, 1, 8), 10_000);
        Machine other = machine("other");
        Job service = swiftJob("red", JobSpec.Kind.SERVICE, JobSpec.Priority.CRITICAL, 1, 2);
        List<Machine> started = new ArrayList<>();
        List<Job> waiting = placement.pass(NOW, 1000, true, (job, machines) -> started.addAll(machines));
        assertEquals(List.of(), started);
        List<Preemption.Stop> stops = new Preemption(cluster, placement).decide(waiting, NOW, 60_000, 1000);
        assertEquals(List.of("m"), stops.stream().map(s -> s.victim().machine()).toList());
        placement.pass(NOW + 300, 1000, true, (job, machines) -> {
            started.addAll(machines);
            cluster.assign(new TaskAssignment(service, 0, 1, machines.get(0).name(), 1, NOW));
        });
        assertEquals(List.of(other), started, "it does not wait for longer than half its time to start");
    }

    /** The best machine's zone may have too little capacity, so that a gang would wait for image pulls elsewhere. */
    @Test
    void aGangGoesToTheZoneWithTheFewestImagePulls() {
        Machine first = machine("zb-1", "zb");
        Machine second = machine("zb-2", "zb");
        first.cacheImage("img", 1);
        second.cacheImage("img", 1);
        machine.cacheImage("img", 1); // the tightest fit, but it lacks room for all
        run(job("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 1, 4), 10_000);
        machine("za-2");
        urgentGangInOneZone(6);
        List<Machine> started = new ArrayList<>();
        placement.pass(NOW, 1000, false, (job, machines) -> {
            started.addAll(machines);
            job.requestCancellation();
        });
        assertEquals(6, started.size());
        assertEquals(Set.of(first, second), Set.copyOf(started));
    }

    @Test
    void anUrgentGangPreemptsWhereItsImageIs() {
        machine.cacheImage("img", 1);
        Job idle = job("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.IDLE, 2, 4);
        run(idle, 10_000);
        run(idle, 10_000);
        machine("other");
        urgentGangInOneZone(3);
        List<Machine> started = new ArrayList<>();
        List<Job> waiting = placement.pass(NOW, 1000, true, (job, machines) -> started.addAll(machines));
        assertEquals(List.of(), started);
        List<Preemption.Stop> stops = new Preemption(cluster, placement).decide(waiting, NOW, 60_000, 1000);
        assertEquals(2, stops.size(), "room for all three");
        assertEquals(
                Set.of("m"),
                Set.copyOf(stops.stream().map(s -> s.victim().machine()).toList()));
        placement.pass(NOW + 300, 1000, true, (job, machines) -> {
            started.addAll(machines);
            job.requestCancellation();
        });
        assertEquals(3, started.size(), "it does not wait for longer than half its time to start");
    }

    /** Else a less urgent job would take what is free already, and be preempted again at once. */
    @Test
    void capacityThatIsBeingFreedIsReservedAgainstLessUrgentWork() {
        Job idle = job("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.IDLE, 2, 4);
        run(idle, 10_000);
        TaskAssignment second = run(idle, 10_000);
        Job gang = urgentGangInOneZone(4);
        List<Preemption.Stop> stops = decide();
        assertEquals(2, stops.size());
        stops.forEach(stop -> cluster.requestStop(stop.victim(), 5, NOW));
        cluster.unassign(second, false);
        idle.requestCancellation();
        Job normal = job("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 1, 2);
        Job critical = job("blue", JobSpec.Kind.SERVICE, JobSpec.Priority.CRITICAL, 1, 2);
        List<Job> started = new ArrayList<>();
        placement.pass(NOW, 1000, true, (job, machines) -> {
            started.add(job);
            job.requestCancellation();
        });
        assertEquals(List.of(critical), started, "neither the gang, which lacks capacity, nor the less urgent job");
        cluster.reservations().remove(gang);
        placement.pass(NOW, 1000, true, (job, machines) -> {
            started.add(job);
            job.requestCancellation();
        });
        assertEquals(List.of(critical, normal), started);
    }

    /** Else a gang would pull its image only after others have taken as long to save as it may take to start. */
    @Test
    void aGangThatIsToStartSoonGivesNoTimeForCheckpoints() {
        Job idle = add(
                next("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.IDLE, 1, 8).checkpoints(20, 0.3));
        run(idle, 10_000);
        urgentGangInOneZone(2);
        assertEquals(
                List.of(0.0), decide().stream().map(Preemption.Stop::graceS).toList(), "0.3 s to save");
    }

    /** A machine to be rented would boot too late for it anyway. */
    @Test
    void aGangThatIsToStartSoonDoesNotWaitForAMachineToBoot() {
        run(job("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.IDLE, 1, 8), 10_000);
        Job gang = swiftJob("blue", JobSpec.Kind.GANG, JobSpec.Priority.NORMAL, 2, 2);
        List<Job> waiting = placement.pass(NOW, 1000, true, (job, machines) -> {});
        assertEquals(List.of(gang), waiting);
        assertEquals(List.of(), new Preemption(cluster, placement).decide(waiting, NOW, 60_000, 100));
        assertEquals(
                1,
                new Preemption(cluster, placement)
                        .decide(waiting, NOW, 60_000, 150)
                        .size());
        Job array = swiftJob("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 2, 2);
        assertEquals(List.of(), new Preemption(cluster, placement).decide(List.of(array), NOW, 60_000, 150));
    }

    /** When one task of a gang is preempted, all are. */
    @Test
    void theLostWorkOfAGangCountsForAllOfItsTasks() {
        Job gang = job("blue", JobSpec.Kind.GANG, JobSpec.Priority.NORMAL, 2, 4);
        run(gang, 80_000);
        Machine other = machine("other");
        TaskAssignment elsewhere = new TaskAssignment(gang, 1, jobs, other.name(), 1, 80_000);
        elsewhere.markRunning(80_000);
        cluster.assign(elsewhere);
        TaskAssignment array = run(job("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 1, 4), 70_000);
        other.instance().startDrain();
        job("red", JobSpec.Kind.SERVICE, JobSpec.Priority.CRITICAL, 1, 2);
        assertEquals(
                List.of(array), decide().stream().map(Preemption.Stop::victim).toList());
    }

    @Test
    void aQuotaTakesBorrowedCapacityBackButNoMore() {
        Job borrowed = job("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 4, 2);
        for (int i = 0; i < 4; i++) {
            run(borrowed, 10_000);
        }
        job("red", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 4, 2);
        assertEquals(3, decide().size(), "blue keeps the 2 CPUs of its own quota");
    }

    /** It would come back at once, and be preempted again and again. */
    @Test
    void moreUrgentWorkIsNotPreemptedForAQuota() {
        Job service = job("blue", JobSpec.Kind.SERVICE, JobSpec.Priority.CRITICAL, 1, 8);
        run(service, 10_000);
        job("red", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 1, 2);
        assertTrue(decide().isEmpty());
    }

    @Test
    void equalWorkOfTheSameTeamIsNotPreempted() {
        run(job("red", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 1, 8), 10_000);
        job("red", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 1, 2);
        assertTrue(decide().isEmpty());
    }
}
