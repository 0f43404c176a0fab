package stileferry.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.cluster.TestJob;
import stileferry.cluster.TestSettings;
import stileferry.leadership.FencingTokens;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.JobSpec;
import stileferry.protocol.JobSpecBuilder;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.Settings;
import stileferry.protocol.WorkerCommand;
import stileferry.protocol.WorkerMessages;
import stileferry.standin.GangSimulation;
import stileferry.standin.Worker;

/** Tests that a leader in office for long goes on starting tasks directly, with reports that stay short. */
class HeldAttemptsTest {
    private static final FencingTokens TOKENS = new FencingTokens(1, FencingTokens.TOKENS_PER_TERM);
    private static final int STARTS = 1_000_000;
    private static final int MACHINES = 32;
    private static final int CPUS = 16;

    /** A tenth of what a report may have. */
    private static final int MAX_REPORT_BYTES = 6554;

    private static final long ROUND_MS = 2000;

    private final Set<String> startedAgain = new TreeSet<>();
    private final ClusterState cluster =
            new ClusterState(TestSettings.with(List.of(), new Settings.ServiceLevelObjective("wait", "any", 2, 0.9)));
    private final Machine machine = cluster.getOrAddMachine("m");
    private final CommandPlanner planner = new CommandPlanner(cluster, () -> true, TOKENS);
    private long now = 1;
    private long attempts;

    /** The share of one machine in a million direct starts, each of which arrives again in a later round. */
    @ParameterizedTest
    @ValueSource(ints = {1, CPUS})
    void aMillionDirectStartsLeaveReportsShortAndTokensToGoOn(int tasksPerRound) {
        JobSpec spec = JobSpecBuilder.array(1)
                .tasks(STARTS / MACHINES + CPUS)
                .cpus(1)
                .memoryGb(1)
                .runS(0.5)
                .build();
        Job job = TestJob.accepted(spec, 1, 0);
        Worker worker = worker(spec);
        int mostReportBytes = 0;
        byte[] earlierStart = null;
        while (attempts < STARTS / MACHINES) {
            answerHeartbeat(worker);
            byte[] start = startDirectly(job, worker, tasksPerRound);
            runTasks(worker);
            mostReportBytes = Math.max(mostReportBytes, MessageCodec.encode(worker.heartbeat()).length);
            if (earlierStart != null) {
                worker.handleCommands(MessageCodec.decode(earlierStart));
            }
            earlierStart = attempts % 3 == 0 ? start : earlierStart;
        }
        assertEquals(Set.of(), startedAgain);
        assertTrue(mostReportBytes < MAX_REPORT_BYTES, mostReportBytes + " bytes");
        assertTrue(TOKENS.canRaise(machine.agent().startFence().raises()), "no token left for a direct start");
    }

    private byte[] startDirectly(Job job, Worker worker, int tasks) {
        for (int i = 0; i < tasks; i++) {
            attempts++;
            TaskAssignment assignment = new TaskAssignment(job, (int) attempts, attempts, "m", 1, now);
            assignment.markDurable();
            cluster.assign(assignment);
        }
        List<WorkerCommand> commands = planner.commandsFor(machine, CommandPlanner.Delivery.DIRECT);
        assertEquals(tasks, commands.size());
        byte[] request = MessageCodec.encode(WorkerMessages.directCommands(token(), 1, commands));
        assertEquals(200, worker.handleCommands(MessageCodec.decode(request)));
        List.copyOf(machine.assignments().values()).forEach(assignment -> cluster.unassign(assignment, true));
        return request;
    }

    private void answerHeartbeat(Worker worker) {
        Heartbeat heartbeat = Heartbeat.read(MessageCodec.encode(worker.heartbeat()));
        machine.agent().recordStatus(heartbeat, TOKENS.first(), now);
        machine.agent().setLastHeartbeat(heartbeat);
        List<WorkerCommand> commands = planner.commandsFor(machine, CommandPlanner.Delivery.HEARTBEAT_RESPONSE);
        worker.handleHeartbeatResponse(WorkerMessages.heartbeatResponse(token(), commands), 1, now);
    }

    private void runTasks(Worker worker) {
        for (int step = 0; step < 2; step++) { // the image is pulled, and the tasks end
            now += ROUND_MS / 2;
            worker.tick(now);
        }
    }

    private long token() {
        return TOKENS.raised(machine.agent().startFence().raises());
    }

    private Worker worker(JobSpec spec) {
        return new Worker(
                "m",
                "10.0.0.1:1",
                "box",
                "za",
                false,
                CPUS,
                CPUS,
                Long.MAX_VALUE / 2,
                now,
                id -> spec,
                new RecordingListener(),
                new GangSimulation(1, 1));
    }

    private final class RecordingListener implements Worker.TaskListener {
        @Override
        public void taskStarted(String task, Worker worker) {}

        @Override
        public void taskEnded(String task, Worker worker) {}

        @Override
        public void clearedAttemptStarted(String attemptId, Worker worker) {
            startedAgain.add(attemptId);
        }
    }
}
