package stileferry.lifecycle;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;

/** Records what the exit of a task says of its machine and of when the task may start again. */
final class ExitRecorder {
    private static final Logger LOG = LoggerFactory.getLogger("leader");

    /** Bounded slowdown counts shorter runs as being this long, as in the paper that {@code Placement} names. */
    private static final double SLOWDOWN_THRESHOLD_S = 60;

    private static final long FAILED_FIRST_PAUSE_MS = 1000;
    private static final int FAILED_MOST_DOUBLINGS = 6;
    private static final long UNKNOWN_JOB_FIRST_PAUSE_MS = 500;
    private static final int UNKNOWN_JOB_MOST_DOUBLINGS = 7;

    private final Environment environment;
    private final MachineQuarantine quarantine;
    private final long heartbeatRoundMs;

    /** {@code heartbeatRoundMs}: the time in which every machine reports, for which a machine is cordoned. */
    ExitRecorder(Environment environment, MachineQuarantine quarantine, long heartbeatRoundMs) {
        this.environment = environment;
        this.quarantine = quarantine;
        this.heartbeatRoundMs = heartbeatRoundMs;
    }

    void log(Machine machine, TaskAssignment assignment, Heartbeat.TaskStatus status, long now) {
        if (startKnown(assignment)) {
            LOG.debug(
                    "task exited: task={} class={} machine={} reason={} assigned_after_ms={} started_after_ms={}"
                            + " ran_ms={}",
                    assignment.taskId(),
                    assignment.job().spec().jobClass(),
                    machine.name(),
                    status.exitReason(),
                    assignment.assignedAt()
                            - now
                            + environment.timeOfDay()
                            - assignment.job().acceptedAt(),
                    assignment.runningSince() - assignment.assignedAt(),
                    now - assignment.runningSince());
        }
    }

    /** Whether this leader has decided on the assignment and seen it running. */
    private static boolean startKnown(TaskAssignment assignment) {
        return assignment.assignedAt() > 0 && assignment.runningSince() > 0;
    }

    void recordSuccess(Machine machine, TaskAssignment assignment, long now) {
        if (startKnown(assignment)) {
            machine.recordSlowdown(
                    (now - assignment.runningSince()) / 1000.0,
                    (assignment.runningSince() - assignment.assignedAt()) / 1000.0,
                    SLOWDOWN_THRESHOLD_S);
        }
        assignment.job().failures().recordSuccess(assignment.index());
        machine.forgetFailures();
    }

    /** Takes in an exit without completion; the quarantine may stop other tasks of the machine. */
    void recordFailure(Machine machine, TaskAssignment assignment, Heartbeat.TaskStatus status, long now) {
        Job job = assignment.job();
        int index = assignment.index();
        switch (status.exitReason()) {
            case FAILED -> {
                job.failures().backOff(index, now, FAILED_FIRST_PAUSE_MS, FAILED_MOST_DOUBLINGS);
                quarantine.recordFailure(machine, job);
            }
            case INSUFFICIENT_RESOURCES, CONFLICTING_ATTEMPT ->
                machine.instance().cordonUntil(now + heartbeatRoundMs);
            case UNKNOWN_JOB ->
                job.failures().backOff(index, now, UNKNOWN_JOB_FIRST_PAUSE_MS, UNKNOWN_JOB_MOST_DOUBLINGS);
            default -> {}
        }
    }
}
