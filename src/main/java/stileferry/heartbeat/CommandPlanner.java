package stileferry.heartbeat;

import java.util.ArrayList;
import java.util.List;
import stileferry.cluster.AgentState;
import stileferry.cluster.ClusterState;
import stileferry.cluster.InvariantMonitor;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.leadership.LeaderElection;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.JobSpec;
import stileferry.protocol.WorkerCommand;

/** Decides which commands a worker needs: what it should do and has not yet been seen to have done. */
final class CommandPlanner {
    private final ClusterState cluster;
    private final Environment environment;
    private final LeaderElection leadership;
    private final long term;
    private final long cancelDeadlineMs;

    /** How commands reach a worker. */
    enum Delivery {
        /** In the response to a heartbeat. */
        HEARTBEAT_RESPONSE,

        /** In a separate request, which may overtake the response to a heartbeat. */
        DIRECT
    }

    CommandPlanner(ClusterState cluster, Environment environment, LeaderElection leadership, long term) {
        this.cluster = cluster;
        this.environment = environment;
        this.leadership = leadership;
        this.term = term;
        this.cancelDeadlineMs = Math.round(cluster.settings().workers().cancelDeadlineS() * 1000);
    }

    /**
     * Returns all commands that the worker needs. A controller that does not hold the leader's lease only stops tasks
     * of cancelled jobs. Starts are recorded as sent, so the caller has to send the result.
     */
    List<WorkerCommand> commandsFor(Machine machine, Delivery delivery) {
        List<WorkerCommand> commands = new ArrayList<>();
        if (!leadership.leaseHeld()) {
            addKillsOfCancelledTasks(machine, commands);
            return commands;
        }
        for (Heartbeat.TaskStatus status : machine.reportedTasks()) {
            if (!assigned(machine, status)) {
                addCommandForUnassignedTask(machine, status, delivery, commands);
            }
        }
        long now = environment.now();
        for (TaskAssignment assignment : machine.assignments().values()) {
            if (assignment.startable()
                    && assignment.incarnation() == machine.agent().incarnation()) {
                addCommandsForAssignment(machine, assignment, delivery, now, commands);
            }
        }
        return commands;
    }

    /** Returns whether tasks of durably cancelled jobs may be on the machine. */
    boolean hasCancelledTasks(Machine machine) {
        return machine.assignments().values().stream()
                .anyMatch(assignment -> assignment.job().cancellationDurable());
    }

    /**
     * Returns whether the machine's commands should be sent directly, although a direct request costs as much as
     * several heartbeats: a critical task waits to start on the machine, or a task has to stop.
     */
    boolean urgent(Machine machine) {
        for (TaskAssignment assignment : machine.assignments().values()) {
            if (assignment.stopping()
                    || assignment.phase() == null && assignment.job().spec().priority() == JobSpec.Priority.CRITICAL) {
                return true;
            }
        }
        return false;
    }

    private static boolean assigned(Machine machine, Heartbeat.TaskStatus status) {
        TaskAssignment assignment = machine.assignments().get(status.taskId());
        return assignment != null && assignment.attempt() == status.attempt();
    }

    private void addCommandForUnassignedTask(
            Machine machine, Heartbeat.TaskStatus status, Delivery delivery, List<WorkerCommand> commands) {
        if (status.phase() != Heartbeat.TaskPhase.EXITED) {
            commands.add(new WorkerCommand(WorkerCommand.Kind.KILL, status.taskId(), status.attempt(), 0));
        } else if (delivery == Delivery.HEARTBEAT_RESPONSE && clearable(machine, status)) {
            commands.add(new WorkerCommand(WorkerCommand.Kind.CLEAR, status.taskId(), status.attempt(), 0));
        }
    }

    /**
     * Returns whether an exited task may be cleared in the response to a heartbeat. A direct clear could overtake a
     * response that repeats the start, and a start that is repeated after the clear runs the task once more.
     */
    private boolean clearable(Machine machine, Heartbeat.TaskStatus status) {
        AgentState agent = machine.agent();
        return machine.hasAcknowledgedTerm(term)
                && !agent.hasNonDurableOutcome(status.attemptId())
                && !agent.hasUnansweredDirectStart(status.attemptId());
    }

    private void addCommandsForAssignment(
            Machine machine, TaskAssignment assignment, Delivery delivery, long now, List<WorkerCommand> commands) {
        if (needsStart(machine, assignment, delivery, now)) {
            if (assignment.job().cancellationConfirmed() && !assignment.startSent()) {
                cluster.invariants()
                        .violated(
                                InvariantMonitor.Invariant.NO_START_AFTER_CONFIRMED_CANCELLATION,
                                "attempt=" + assignment.attemptId() + " machine=" + machine.name());
            }
            commands.add(new WorkerCommand(WorkerCommand.Kind.RUN, assignment.taskId(), assignment.attempt(), 0));
            assignment.markStartSent();
            if (delivery == Delivery.DIRECT) {
                machine.agent().recordDirectStartSent(assignment.attemptId());
            }
        }
        if (needsKill(assignment)) {
            commands.add(new WorkerCommand(
                    WorkerCommand.Kind.KILL, assignment.taskId(), assignment.attempt(), assignment.stopGraceS()));
        }
    }

    private boolean needsStart(Machine machine, TaskAssignment assignment, Delivery delivery, long now) {
        if (assignment.phase() != null) {
            return false;
        }
        if (!assignment.stopping()) {
            return true;
        }
        // The start is repeated: an unanswered direct start of a stopped task does no harm once the worker knows
        // the attempt.
        boolean cancelledLongAgo =
                assignment.job().cancelled() && now - assignment.stopRequestedAt() > cancelDeadlineMs / 2;
        return delivery == Delivery.HEARTBEAT_RESPONSE
                && machine.agent().hasUnansweredDirectStart(assignment.attemptId())
                && !cancelledLongAgo;
    }

    private static boolean needsKill(TaskAssignment assignment) {
        boolean savingInGracePeriod =
                assignment.phase() == Heartbeat.TaskPhase.SAVING_CHECKPOINT && assignment.stopGraceS() > 0;
        return assignment.stopping() && assignment.phase() != Heartbeat.TaskPhase.EXITED && !savingInGracePeriod;
    }

    /**
     * Adds kills for the tasks of durably cancelled jobs. Such a job stays cancelled regardless of which controller
     * leads, so any controller may stop its tasks.
     */
    private static void addKillsOfCancelledTasks(Machine machine, List<WorkerCommand> commands) {
        for (TaskAssignment assignment : machine.assignments().values()) {
            if (assignment.job().cancellationDurable()
                    && assignment.stopping()
                    && assignment.incarnation() == machine.agent().incarnation()
                    && assignment.phase() != Heartbeat.TaskPhase.EXITED) {
                commands.add(new WorkerCommand(WorkerCommand.Kind.KILL, assignment.taskId(), assignment.attempt(), 0));
            }
        }
    }
}
