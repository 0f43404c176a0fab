package stileferry.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.protocol.JobSpec;

/** Checks which tasks are preempted for which jobs, and on which machines. */
class PreemptionTest extends SchedulingTestCase {
    @Test
    void taskWithLeastLostWorkIsPreemptedFirst() {
        Job idle = addJob("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.IDLE, 2, 4);
        addRunningTask(idle, 10_000);
        TaskAssignment recentlyStarted = addRunningTask(idle, 90_000);
        addJob("blue", JobSpec.Kind.SERVICE, JobSpec.Priority.CRITICAL, 1, 2);
        List<Preemption.PlannedPreemption> preemptions = planPreemptions();
        assertEquals(1, preemptions.size(), "one preemption frees enough capacity");
        assertEquals(recentlyStarted, preemptions.get(0).victim());
        assertEquals(0, preemptions.get(0).graceS(), "critical tasks do not wait for victims to save a checkpoint");
    }

    /**
     * Guards against services that start late because they pull their image, while idle jobs run on machines with it.
     */
    @Test
    void criticalTaskPreemptsOnMachineWithItsImage() {
        machine.cacheImage("img", 1);
        addRunningTask(addJob("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.IDLE, 1, 8), 10_000);
        Machine other = addMachine("other");
        Job service = addJobWithStartObjective("red", JobSpec.Kind.SERVICE, JobSpec.Priority.CRITICAL, 1, 2);
        List<Machine> started = new ArrayList<>();
        List<Job> waiting = placement.runPass(NOW, 1000, true, (job, machines) -> started.addAll(machines));
        assertEquals(List.of(), started);
        List<Preemption.PlannedPreemption> preemptions =
                new Preemption(cluster, placement).plan(waiting, NOW, 60_000, 1000);
        assertEquals(
                List.of("m"),
                preemptions.stream()
                        .map(preemption -> preemption.victim().machine())
                        .toList());
        placement.runPass(NOW + 300, 1000, true, (job, machines) -> {
            started.addAll(machines);
            cluster.assign(new TaskAssignment(service, 0, 1, machines.get(0).name(), 1, NOW));
        });
        assertEquals(List.of(other), started, "the start is delayed for at most half of its start objective");
    }

    /**
     * Guards against avoidable image pulls: the zone of the best machine may have too little capacity on machines that
     * have the image, while another zone has enough.
     */
    @Test
    void gangIsPlacedInZoneWithFewestImagePulls() {
        Machine first = addMachine("zb-1", "zb");
        Machine second = addMachine("zb-2", "zb");
        first.cacheImage("img", 1);
        second.cacheImage("img", 1);
        machine.cacheImage("img", 1); // the tightest fit, but without capacity for all tasks
        addRunningTask(addJob("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 1, 4), 10_000);
        addMachine("za-2");
        addUrgentGangInOneZone(6);
        List<Machine> started = new ArrayList<>();
        placement.runPass(NOW, 1000, false, (job, machines) -> {
            started.addAll(machines);
            job.requestCancellation();
        });
        assertEquals(6, started.size());
        assertEquals(Set.of(first, second), Set.copyOf(started));
    }

    @Test
    void urgentGangPreemptsOnMachineWithItsImage() {
        machine.cacheImage("img", 1);
        Job idle = addJob("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.IDLE, 2, 4);
        addRunningTask(idle, 10_000);
        addRunningTask(idle, 10_000);
        addMachine("other");
        addUrgentGangInOneZone(3);
        List<Machine> started = new ArrayList<>();
        List<Job> waiting = placement.runPass(NOW, 1000, true, (job, machines) -> started.addAll(machines));
        assertEquals(List.of(), started);
        List<Preemption.PlannedPreemption> preemptions =
                new Preemption(cluster, placement).plan(waiting, NOW, 60_000, 1000);
        assertEquals(2, preemptions.size(), "capacity for all three tasks");
        assertEquals(
                Set.of("m"),
                Set.copyOf(preemptions.stream()
                        .map(preemption -> preemption.victim().machine())
                        .toList()));
        placement.runPass(NOW + 300, 1000, true, (job, machines) -> {
            started.addAll(machines);
            job.requestCancellation();
        });
        assertEquals(3, started.size(), "the start is delayed for at most half of its start objective");
    }

    /** Otherwise a job of lower priority would use the freed capacity and be preempted again immediately. */
    @Test
    void capacityBeingFreedIsReservedAgainstLowerPriorityJobs() {
        Job idle = addJob("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.IDLE, 2, 4);
        addRunningTask(idle, 10_000);
        TaskAssignment second = addRunningTask(idle, 10_000);
        Job gang = addUrgentGangInOneZone(4);
        List<Preemption.PlannedPreemption> preemptions = planPreemptions();
        assertEquals(2, preemptions.size());
        preemptions.forEach(preemption -> cluster.requestStop(preemption.victim(), 5, NOW));
        cluster.unassign(second, false);
        idle.requestCancellation();
        Job normal = addJob("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 1, 2);
        Job critical = addJob("blue", JobSpec.Kind.SERVICE, JobSpec.Priority.CRITICAL, 1, 2);
        List<Job> started = new ArrayList<>();
        placement.runPass(NOW, 1000, true, (job, machines) -> {
            started.add(job);
            job.requestCancellation();
        });
        assertEquals(
                List.of(critical), started, "neither the gang, which lacks capacity, nor the job of lower priority");
        cluster.reservations().remove(gang);
        placement.runPass(NOW, 1000, true, (job, machines) -> {
            started.add(job);
            job.requestCancellation();
        });
        assertEquals(List.of(critical, normal), started);
    }

    /**
     * Otherwise the victims' checkpoints could take as long as the gang's start objective, before it pulls its image.
     */
    @Test
    void gangWithShortStartObjectivePreemptsWithoutGracePeriod() {
        Job idle = addJobFrom(nextSpec("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.IDLE, 1, 8)
                .checkpoints(20, 0.3));
        addRunningTask(idle, 10_000);
        addUrgentGangInOneZone(2);
        assertEquals(
                List.of(0.0),
                planPreemptions().stream()
                        .map(Preemption.PlannedPreemption::graceS)
                        .toList(),
                "saving the checkpoint takes 0.3 s");
    }

    /** A requested machine would boot too late for the gang anyway. */
    @Test
    void gangWithShortStartObjectiveDoesNotWaitForMachineBoot() {
        addRunningTask(addJob("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.IDLE, 1, 8), 10_000);
        Job gang = addJobWithStartObjective("blue", JobSpec.Kind.GANG, JobSpec.Priority.NORMAL, 2, 2);
        List<Job> waiting = placement.runPass(NOW, 1000, true, (job, machines) -> {});
        assertEquals(List.of(gang), waiting);
        assertEquals(List.of(), new Preemption(cluster, placement).plan(waiting, NOW, 60_000, 100));
        assertEquals(
                1,
                new Preemption(cluster, placement)
                        .plan(waiting, NOW, 60_000, 150)
                        .size());
        Job array = addJobWithStartObjective("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 2, 2);
        assertEquals(List.of(), new Preemption(cluster, placement).plan(List.of(array), NOW, 60_000, 150));
    }

    /** If one task of a gang is preempted, all of its tasks are stopped. */
    @Test
    void preemptionCostOfGangCountsAllItsTasks() {
        Job gang = addJob("blue", JobSpec.Kind.GANG, JobSpec.Priority.NORMAL, 2, 4);
        addRunningTask(gang, 80_000);
        Machine other = addMachine("other");
        addRunningTask(gang, other, 80_000);
        TaskAssignment array =
                addRunningTask(addJob("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 1, 4), 70_000);
        other.instance().startDrain();
        addJob("red", JobSpec.Kind.SERVICE, JobSpec.Priority.CRITICAL, 1, 2);
        assertEquals(
                List.of(array),
                planPreemptions().stream()
                        .map(Preemption.PlannedPreemption::victim)
                        .toList());
    }

    @Test
    void quotaReclaimsOnlyBorrowedCapacity() {
        Job borrowed = addJob("blue", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 4, 2);
        for (int i = 0; i < 4; i++) {
            addRunningTask(borrowed, 10_000);
        }
        addJob("red", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 4, 2);
        assertEquals(3, planPreemptions().size(), "blue keeps the 2 CPUs of its quota");
    }

    /** Otherwise the task would return to the head of the queue immediately, and be preempted again and again. */
    @Test
    void higherPriorityTaskIsNotPreemptedForQuota() {
        Job service = addJob("blue", JobSpec.Kind.SERVICE, JobSpec.Priority.CRITICAL, 1, 8);
        addRunningTask(service, 10_000);
        addJob("red", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 1, 2);
        assertTrue(planPreemptions().isEmpty());
    }

    @Test
    void equalPriorityTaskOfSameTeamIsNotPreempted() {
        addRunningTask(addJob("red", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 1, 8), 10_000);
        addJob("red", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 1, 2);
        assertTrue(planPreemptions().isEmpty());
    }
}
