package stileferry.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import stileferry.cluster.InvariantMonitor.Invariant;
import stileferry.protocol.JobSpecBuilder;
import stileferry.protocol.Settings;

/** Each check of an invariant at run time finds a planted violation, and nothing else. */
class InvariantMonitorTest {
    private static final double MAX_CPUS = 2;

    private final ClusterState cluster = new ClusterState(TestSettings.with(
            List.of(new Settings.Team("red", 0, MAX_CPUS, 0, 0)),
            new Settings.ServiceLevelObjective("wait", "any", 1, 1)));
    private final Job job = TestJob.accepted(
            JobSpecBuilder.array(1).team("red").tasks(3).cpus(1).build(), 1, 1);

    private void assign(int index, long attempt) {
        cluster.assign(new TaskAssignment(job, index, attempt, "host-1", 1, 1));
        cluster.teamLimits().check(job);
    }

    private void assertCounts(long oneAssignment, long teamLimit) {
        assertEquals(oneAssignment, cluster.invariants().count(Invariant.ONE_ASSIGNMENT_PER_TASK));
        assertEquals(teamLimit, cluster.invariants().count(Invariant.START_WITHIN_TEAM_LIMIT));
    }

    @Test
    void findsNothingWhileTheTeamIsAtItsLimit() {
        assign(0, 1);
        assign(1, 1);
        assertCounts(0, 0);
    }

    @Test
    void findsATeamAboveItsLimit() {
        assign(0, 1);
        assign(1, 1);
        assign(2, 1);
        assertCounts(0, 1);
    }

    @Test
    void findsASecondAssignmentOfATask() {
        assign(0, 1);
        assign(0, 2);
        assertCounts(1, 0);
    }
}
