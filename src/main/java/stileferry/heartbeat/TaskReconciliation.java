package stileferry.heartbeat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.AgentState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.protocol.Heartbeat;

/** Reconciles the tasks that an agent reports with the assignments to its machine. */
final class TaskReconciliation {
    private static final Logger LOG = LoggerFactory.getLogger("heartbeat");

    private final long firstToken;
    private final TaskObserver taskObserver;
    private final CommandDispatcher commandDispatcher;

    TaskReconciliation(long firstToken, TaskObserver taskObserver, CommandDispatcher commandDispatcher) {
        this.firstToken = firstToken;
        this.taskObserver = taskObserver;
        this.commandDispatcher = commandDispatcher;
    }

    void reconcile(Machine machine, Heartbeat heartbeat, HeartbeatReconciliation.Origin origin, long now) {
        AgentState agent = machine.agent();
        agent.setLastHeartbeat(heartbeat);
        Map<String, Heartbeat.TaskStatus> assignedTasks = assignedTasks(machine, heartbeat);
        agent.setReconciled(
                heartbeat.tasks().size() == assignedTasks.size() + HeldAttempts.countRestingAttempts(machine, heartbeat)
                        && assignedTasks.size() == machine.assignments().size());
        for (TaskAssignment assignment : List.copyOf(machine.assignments().values())) {
            Heartbeat.TaskStatus status = assignedTasks.get(assignment.taskId());
            if (assignment.incarnation() < heartbeat.incarnation()) {
                taskObserver.taskProvenGone(assignment, SettlementProof.HIGHER_INCARNATION);
            } else if (status != null) {
                if (status.phase() == Heartbeat.TaskPhase.EXITED || assignment.stopping()) {
                    agent.setReconciled(false);
                }
                updatePhase(machine, assignment, status, now);
            } else if (origin == HeartbeatReconciliation.Origin.HEARTBEAT && neverStarted(machine, assignment)) {
                taskObserver.taskProvenGone(assignment, SettlementProof.NEVER_STARTED);
            }
        }
    }

    /**
     * Returns the reported tasks that are assigned, by task id. All others that have not exited are orphans, which are
     * to be killed.
     */
    private Map<String, Heartbeat.TaskStatus> assignedTasks(Machine machine, Heartbeat heartbeat) {
        machine.agent().setHasOrphanTasks(false);
        Map<String, Heartbeat.TaskStatus> assignedTasks = new HashMap<>();
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            TaskAssignment assignment = machine.assignments().get(status.taskId());
            if (assignment != null
                    && assignment.durable()
                    && assignment.attempt() == status.attempt()
                    && assignment.incarnation() == heartbeat.incarnation()) {
                assignedTasks.put(status.taskId(), status);
            } else if (status.phase() != Heartbeat.TaskPhase.EXITED) {
                machine.agent().setHasOrphanTasks(true);
                commandDispatcher.queueCommands(machine);
            }
        }
        return assignedTasks;
    }

    /**
     * Returns whether a stopped task that a heartbeat does not list can no longer start. A worker has one heartbeat in
     * flight: every response that carried a start was carried out or dropped before this heartbeat, the worker has
     * shown a higher token than any direct start of the task, and former leaders are no longer obeyed.
     */
    private boolean neverStarted(Machine machine, TaskAssignment assignment) {
        return assignment.stopping()
                && assignment.durable()
                && assignment.phase() == null
                && machine.hasAcknowledgedTerm(firstToken)
                && !machine.agent().startFence().mayStart(assignment.attemptId());
    }

    private void updatePhase(Machine machine, TaskAssignment assignment, Heartbeat.TaskStatus status, long now) {
        if (assignment.phase() != status.phase()) {
            assignment.recordPhase(status.phase());
            switch (status.phase()) {
                case WAITING_FOR_GANG -> cacheImage(machine, assignment);
                case RUNNING, SAVING_CHECKPOINT -> markRunning(machine, assignment, now);
                default -> {}
            }
            taskObserver.taskPhaseChanged(assignment);
        }
        if (status.phase() == Heartbeat.TaskPhase.EXITED) {
            taskObserver.taskExited(machine, assignment, status);
        }
    }

    private void markRunning(Machine machine, TaskAssignment assignment, long now) {
        if (assignment.runningSince() != 0) {
            return;
        }
        assignment.markRunning(now);
        Job job = assignment.job();
        LOG.debug(
                "task running: task={} class={} machine={} zone={} assigned_ms_ago={}",
                assignment.taskId(),
                job.spec().jobClass(),
                machine.name(),
                machine.zone(),
                assignment.assignedAt() == 0 ? -1 : now - assignment.assignedAt());
        job.markStarted();
        cacheImage(machine, assignment);
        if (job.spec().isGang() && job.runningCount() == job.spec().taskCount()) {
            taskObserver.gangRunning(job);
        }
    }

    private static void cacheImage(Machine machine, TaskAssignment assignment) {
        machine.cacheImage(
                assignment.job().spec().image(), assignment.job().spec().imageGb());
    }
}
