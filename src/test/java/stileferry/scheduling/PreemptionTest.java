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
import stileferry.protocol.JobSpec;
import stileferry.protocol.MachineType;
import stileferry.protocol.Settings;

/** Whose work is stopped to make room for whom, and where. */
class PreemptionTest {
    private static final long NOW = 100_000;

    private ClusterState cluster;
    private Placement placement;
    private Machine machine;
    private int jobs;

    @BeforeEach
    void oneMachine() {
        Settings settings = new Settings(
                "n0",
                "za",
                null,
                null,
                List.of(),
                "c",
                "s",
                List.of("za", "zb"),
                List.of(new Settings.Team("red", 8, 16, 0, 0), new Settings.Team("blue", 2, 16, 0, 0)),
                List.of(new Settings.ServiceLevelObjective("wait", "swift", 0.5, 0.9)),
                new Settings.WorkerTimes(2, 10, 20),
                new Settings.KeyValueStoreLimits(100, 50, 8, 12),
                new Settings.CloudLimits(5, 3),
                1,
                100,
                5);
        cluster = new ClusterState(settings);
        cluster.setMachineTypes(List.of(new MachineType("box", 8, 0, 32, 50, 1, 1, 0.4, 10, List.of("za", "zb"))));
        placement = new Placement(cluster);
        machine = machine("m");
    }

    private Machine machine(String name) {
        return machine(name, "za");
    }

    private Machine machine(String name, String zone) {
        Machine machine = cluster.machine(name);
        machine.setType(cluster.machineTypes().get(0));
        cluster.setZone(machine, zone);
        machine.agent().setHeardThisTerm(true);
        machine.agent().markHeard(NOW);
        cluster.freeCapacity().update(machine);
        return machine;
    }

    private Job job(String team, JobSpec.Kind kind, JobSpec.Priority priority, int tasks, double cpus) {
        return job("any", team, kind, priority, tasks, cpus);
    }

    private Job job(String of, String team, JobSpec.Kind kind, JobSpec.Priority priority, int tasks, double cpus) {
        Job job = new Job(
                new JobSpec(
                        "job-" + ++jobs,
                        of,
                        team,
                        kind,
                        priority,
                        tasks,
                        cpus,
                        0,
                        1,
                        "img",
                        1,
                        null,
                        null,
                        false,
                        false,
                        true,
                        60,
                        0,
                        0,
                        -1),
                jobs,
                0,
                0);
        job.markAccepted();
        cluster.jobs().put(job.spec().id(), job);
        return job;
    }

    private TaskAssignment run(Job job, long since) {
        TaskAssignment claim = new TaskAssignment(job, job.nextUnassignedTask(0), jobs, "m", 1, since);
        claim.markDurable();
        claim.markStartSent();
        claim.markRunning(since);
        cluster.assign(claim);
        return claim;
    }

    private List<Preemption.Stop> decide() {
        List<Job> waiting = placement.pass(NOW, 1000, false, (job, machines) -> {});
        return new Preemption(cluster, placement).decide(waiting, NOW, 60_000, 1000);
    }

    @Test
    void theLeastLossGoesFirst() {
        Job idle = job("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.IDLE, 2, 4);
        run(idle, 10_000);
        TaskAssignment young = run(idle, 90_000);
        job("blue", JobSpec.Kind.SERVICE, JobSpec.Priority.CRITICAL, 1, 2);
        List<Preemption.Stop> stops = decide();
        assertEquals(1, stops.size(), "one is enough");
        assertEquals(young, stops.get(0).victim());
        assertEquals(0, stops.get(0).graceS(), "critical work does not wait for others to save");
    }

    /**
     * Found on the bench: most services that started late fetched their image beside idle work on machines that had
     * it.
     */
    @Test
    void aCriticalTaskTakesRoomWhereItsImageIs() {
        machine.cacheImage("img", 1);
        run(job("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.IDLE, 1, 8), 10_000);
        Machine other = machine("other");
        Job service = job("swift", "red", JobSpec.Kind.SERVICE, JobSpec.Priority.CRITICAL, 1, 2);
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

    private Job urgentGangInOneZone(int tasks) {
        Job job = new Job(
                new JobSpec(
                        "job-" + ++jobs,
                        "swift",
                        "red",
                        JobSpec.Kind.GANG,
                        JobSpec.Priority.URGENT,
                        tasks,
                        2,
                        0,
                        1,
                        "img",
                        1,
                        null,
                        null,
                        true,
                        false,
                        false,
                        60,
                        0,
                        0,
                        -1),
                jobs,
                0,
                0);
        job.markAccepted();
        cluster.jobs().put(job.spec().id(), job);
        return job;
    }

    /**
     * Found on the bench: half of the gangs waited for an image longer than their time to start, with room elsewhere.
     */
    @Test
    void aGangGoesToTheZoneWhereLeastOfItHasToFetch() {
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
    void anUrgentGangTakesRoomWhereItsImageIs() {
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

    /**
     * Found on the bench: while room was made for an urgent gang, a less urgent one took what was free of it already,
     * and was stopped again at once, fifty times a second.
     */
    @Test
    void roomThatIsBeingMadeIsKeptFromLessUrgentWork() {
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
        assertEquals(List.of(critical), started, "neither the gang, which lacks room, nor the less urgent job");
        cluster.reservations().remove(gang);
        placement.pass(NOW, 1000, true, (job, machines) -> {
            started.add(job);
            job.requestCancellation();
        });
        assertEquals(List.of(critical, normal), started);
    }

    /** Found on an incident: gangs with 5 s to start waited while others saved for 5 s, and only then fetched. */
    @Test
    void aGangThatIsToStartSoonDoesNotWaitForOthersToSave() {
        JobSpec saving = new JobSpec(
                "job-" + ++jobs,
                "any",
                "blue",
                JobSpec.Kind.ARRAY,
                JobSpec.Priority.IDLE,
                1,
                8,
                0,
                1,
                "img",
                1,
                null,
                null,
                false,
                false,
                true,
                60,
                20,
                0.3,
                -1);
        Job idle = new Job(saving, jobs, 0, 0);
        idle.markAccepted();
        cluster.jobs().put(saving.id(), idle);
        run(idle, 10_000);
        urgentGangInOneZone(2);
        assertEquals(
                List.of(0.0), decide().stream().map(Preemption.Stop::graceS).toList(), "0.3 s to save");
    }

    /** Found on the bench: gangs with 15 s to start waited 15 s, a boot time, before idle work was stopped for them. */
    @Test
    void aGangThatIsToStartSoonDoesNotWaitForAMachineToBoot() {
        run(job("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.IDLE, 1, 8), 10_000);
        Job gang = job("swift", "blue", JobSpec.Kind.GANG, JobSpec.Priority.NORMAL, 2, 2);
        List<Job> waiting = placement.pass(NOW, 1000, true, (job, machines) -> {});
        assertEquals(List.of(gang), waiting);
        assertEquals(List.of(), new Preemption(cluster, placement).decide(waiting, NOW, 60_000, 100));
        assertEquals(
                1,
                new Preemption(cluster, placement)
                        .decide(waiting, NOW, 60_000, 150)
                        .size());
        Job array = job("swift", "blue", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 2, 2);
        assertEquals(List.of(), new Preemption(cluster, placement).decide(List.of(array), NOW, 60_000, 150));
    }

    /** Found on the bench: gangs lost many times what one of their tasks seemed to, when that task was stopped. */
    @Test
    void whatAGangLosesCountsForAllOfItsTasks() {
        Job gang = job("blue", JobSpec.Kind.GANG, JobSpec.Priority.NORMAL, 2, 4);
        run(gang, 80_000);
        Machine other = machine("other");
        TaskAssignment elsewhere = new TaskAssignment(gang, 1, jobs, other.name(), 1, 80_000);
        elsewhere.markRunning(80_000);
        cluster.assign(elsewhere);
        TaskAssignment array = run(job("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 1, 4), 70_000);
        other.instance().drain();
        job("red", JobSpec.Kind.SERVICE, JobSpec.Priority.CRITICAL, 1, 2);
        assertEquals(
                List.of(array), decide().stream().map(Preemption.Stop::victim).toList());
    }

    @Test
    void aGuaranteeTakesBorrowedRoomBackButNoMore() {
        Job borrowed = job("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 4, 2);
        for (int i = 0; i < 4; i++) {
            run(borrowed, 10_000);
        }
        job("red", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 4, 2);
        assertEquals(3, decide().size(), "blue keeps the 2 CPUs of its own guarantee");
    }

    /** Found on the bench: a service of another team was stopped again and again for arrays within a guarantee. */
    @Test
    void moreUrgentWorkIsNotStoppedForAGuarantee() {
        Job service = job("blue", JobSpec.Kind.SERVICE, JobSpec.Priority.CRITICAL, 1, 8);
        run(service, 10_000);
        job("red", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 1, 2);
        assertTrue(decide().isEmpty());
    }

    @Test
    void equalWorkOfTheSameTeamIsNotStopped() {
        run(job("red", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 1, 8), 10_000);
        job("red", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 1, 2);
        assertTrue(decide().isEmpty());
    }
}
