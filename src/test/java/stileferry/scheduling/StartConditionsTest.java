package stileferry.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.protocol.JobSpec.Kind;
import stileferry.protocol.JobSpec.Priority;

/**
 * Checks that jobs which their team's limit, zones or gang keep from starting neither take capacity from other jobs nor
 * keep them from starting.
 */
class StartConditionsTest extends SchedulingTestCase {
    private static final long STARTED = 10_000;

    /** Times of day at which jobs that were submitted at 0 and have not begun are overdue, or have to be protected. */
    private static final long OVERDUE = 200_000;

    private static final long AFTER_HEAD_PROTECTION = 700_000;

    private void run(Job job, Machine on, int tasks) {
        for (int i = 0; i < tasks; i++) {
            addRunningTask(job, on, STARTED);
        }
    }

    private List<Job> startedInPass(long timeOfDay) {
        List<Job> started = new ArrayList<>();
        placement.runPass(NOW, timeOfDay, true, (job, machines) -> {
            started.add(job);
            job.requestCancellation();
        });
        return started;
    }

    private Map<String, Long> victimsByMachine() {
        return planPreemptions().stream()
                .collect(Collectors.groupingBy(planned -> planned.victim().machine(), Collectors.counting()));
    }

    /** Fills two machines with red's services, up to the given number of CPUs below its limit of 16. */
    private void useRedLimitExcept(int cpus) {
        run(addJob("red", Kind.SERVICE, Priority.CRITICAL, 16 - cpus, 1), addMachine("red-1"), 8);
        run(cluster.jobs().get("job-1"), addMachine("red-2"), 8 - cpus);
    }

    /** Guards against running tasks being stopped, again and again, for a gang that exceeds its team's limit. */
    @Test
    void nothingIsPreemptedForGangOfWhichOnlyAPartIsWithinItsTeamsLimit() {
        useRedLimitExcept(4);
        run(addJob("blue", Kind.ARRAY, Priority.NORMAL, 8, 1), machine, 8);
        addJob("red", Kind.GANG, Priority.URGENT, 4, 2);
        assertEquals(Map.of(), victimsByMachine());
    }

    /** Guards against capacity being freed for tasks that exceed the limit of the team, of one job or of several. */
    @Test
    void capacityIsFreedOnlyForTheTasksWithinTheTeamsLimit() {
        useRedLimitExcept(3);
        cluster.machines().get("red-2").instance().startDrain();
        run(addJob("blue", Kind.ARRAY, Priority.NORMAL, 8, 1), machine, 8);
        addJob("red", Kind.ARRAY, Priority.URGENT, 2, 1);
        addJob("red", Kind.ARRAY, Priority.URGENT, 5, 1);
        assertEquals(Map.of("m", 3L), victimsByMachine());
    }

    /** Guards against services that never start in the capacity that was freed and is reserved for them. */
    @Test
    void capacityReservedForAJobIsNoReasonNotToStartThatJobThere() {
        addJobFrom(nextSpec("red", Kind.SERVICE, Priority.CRITICAL, 1, 4).zone("zb"));
        Job array = addJob("blue", Kind.ARRAY, Priority.NORMAL, 20, 1);
        run(array, machine, 8);
        Job service = addJob("red", Kind.SERVICE, Priority.CRITICAL, 1, 4);
        planPreemptions().forEach(planned -> cluster.unassign(planned.victim(), false));
        assertEquals(4, machine.freeCpus());
        assertEquals(List.of(service), startedInPass(1000));
    }

    /** Guards against tasks that start again where they were preempted for another team's quota, again and again. */
    @Test
    void capacityFreedForAQuotaIsReservedAgainstTheJobsThatExceedTheirs() {
        addJobFrom(nextSpec("red", Kind.SERVICE, Priority.CRITICAL, 1, 1).zone("zb"));
        Job exceeding = addJob("blue", Kind.ARRAY, Priority.NORMAL, 20, 1);
        run(exceeding, machine, 8);
        Job withinQuota = addJob("red", Kind.ARRAY, Priority.NORMAL, 1, 4);
        planPreemptions().forEach(planned -> cluster.unassign(planned.victim(), false));
        assertEquals(List.of(withinQuota), startedInPass(1000));
    }

    /** Guards against running tasks being stopped for a gang that has no capacity in its second zone. */
    @Test
    void nothingIsPreemptedForSpreadGangThatFitsInOneZoneOnly() {
        run(addJob("red", Kind.SERVICE, Priority.CRITICAL, 1, 8), addMachine("zb-1", "zb"), 1);
        run(addJob("blue", Kind.ARRAY, Priority.NORMAL, 8, 1), machine, 8);
        addJobFrom(nextSpec("red", Kind.GANG, Priority.URGENT, 4, 2).spreadAcrossZones(true));
        assertEquals(Map.of(), victimsByMachine());
    }

    @Test
    void spreadGangPreemptsForHalfOfItsTasksInEachZone() {
        run(addJob("blue", Kind.ARRAY, Priority.NORMAL, 8, 1), machine, 8);
        run(addJob("free", Kind.ARRAY, Priority.NORMAL, 8, 1), addMachine("zb-1", "zb"), 8);
        addJobFrom(nextSpec("red", Kind.GANG, Priority.URGENT, 4, 2).spreadAcrossZones(true));
        assertEquals(Map.of("m", 4L, "zb-1", 4L), victimsByMachine());
    }

    /** Guards against capacity being freed in a zone for tasks of a service that may not run there. */
    @Test
    void capacityForSpreadOrBoundTasksIsFreedOnlyInZonesThatAdmitThem() {
        run(addJob("blue", Kind.ARRAY, Priority.NORMAL, 8, 1), machine, 8);
        addJobFrom(nextSpec("red", Kind.SERVICE, Priority.CRITICAL, 4, 2).spreadAcrossZones(true));
        assertEquals(Map.of("m", 4L), victimsByMachine(), "capacity for two of four tasks");
        cluster.jobs().get("job-2").requestCancellation();
        run(addJob("free", Kind.ARRAY, Priority.NORMAL, 8, 1), addMachine("zb-1", "zb"), 8);
        addJobFrom(nextSpec("red", Kind.SERVICE, Priority.CRITICAL, 2, 5).oneZone(true));
        assertEquals(Map.of("m", 5L), victimsByMachine(), "capacity in one zone");
    }

    /** Guards against jobs at their team's limit being taken as a proof that nothing as large fits anywhere. */
    @Test
    void jobAtItsTeamsLimitDoesNotKeepJobsOfOtherTeamsFromStarting() {
        useRedLimitExcept(0);
        addJob("red", Kind.ARRAY, Priority.URGENT, 1, 1);
        addJobFrom(nextSpec("blue", Kind.ARRAY, Priority.NORMAL, 1, 1).zone("zb"));
        Job fitting = addJob("blue", Kind.ARRAY, Priority.NORMAL, 1, 1);
        assertEquals(List.of(fitting), startedInPass(1000));
    }

    /** Guards against a head of the queue at its team's limit that keeps all machines from other teams. */
    @Test
    void headAtItsTeamsLimitKeepsNoMachineFromOtherTeams() {
        useRedLimitExcept(0);
        addJob("red", Kind.ARRAY, Priority.URGENT, 1, 1);
        Job fitting = addJob("blue", Kind.ARRAY, Priority.NORMAL, 1, 1);
        assertEquals(List.of(fitting), startedInPass(AFTER_HEAD_PROTECTION));
    }

    /** Guards against large jobs that wait for their team's limit without end behind smaller jobs of the team. */
    @Test
    void laterJobsOfATeamStandBackBehindAJobThatWaitsTooLongForItsLimit() {
        useRedLimitExcept(1);
        addJob("red", Kind.ARRAY, Priority.NORMAL, 1, 2);
        Job small = addJob("red", Kind.ARRAY, Priority.NORMAL, 1, 1);
        assertEquals(List.of(small), startedInPass(1000));
        addJob("red", Kind.ARRAY, Priority.NORMAL, 1, 1);
        assertEquals(List.of(), startedInPass(AFTER_HEAD_PROTECTION));
    }

    /** Guards against capacity freed and reserved for a job on the one machine that is kept for an overdue job. */
    @Test
    void nothingIsPreemptedOnTheMachineKeptForAnOverdueJob() {
        run(addJob("blue", Kind.ARRAY, Priority.IDLE, 4, 1), machine, 4);
        addJob("blue", Kind.ARRAY, Priority.IDLE, 1, 6);
        addJobFrom(nextSpec("red", Kind.SERVICE, Priority.CRITICAL, 1, 5), OVERDUE);
        assertEquals(List.of(), planPreemptions(OVERDUE));
    }

    /** Guards against a machine being kept from all other jobs for a gang that could not begin on it alone. */
    @Test
    void noMachineIsKeptForAnOverdueGangThatNeedsSeveral() {
        addJob("free", Kind.GANG, Priority.NORMAL, 4, 4);
        Job small = addJobFrom(nextSpec("blue", Kind.ARRAY, Priority.NORMAL, 1, 1), OVERDUE);
        assertEquals(List.of(small), startedInPass(OVERDUE));
    }

    /** Guards against a machine being kept for an overdue job although services leave too little capacity there. */
    @Test
    void noMachineIsKeptForAnOverdueJobThatDoesNotFitBesideItsServices() {
        run(addJob("red", Kind.SERVICE, Priority.CRITICAL, 1, 4), machine, 1);
        addJob("free", Kind.ARRAY, Priority.NORMAL, 1, 6);
        Job small = addJobFrom(nextSpec("blue", Kind.ARRAY, Priority.NORMAL, 1, 1), OVERDUE);
        assertEquals(List.of(small), startedInPass(OVERDUE));
    }
}
