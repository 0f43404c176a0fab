package stileferry.heartbeat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import stileferry.cluster.AgentState;
import stileferry.cluster.ClusterState;
import stileferry.cluster.InvariantMonitor;
import stileferry.cluster.Machine;
import stileferry.cluster.StartFence;
import stileferry.cluster.TaskAssignment;
import stileferry.leadership.FencingTokens;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.JobSpec;
import stileferry.protocol.WorkerCommand;

/** Decides which commands a worker needs: what it should do and has not yet been seen to have done. */
final class CommandPlanner {
    private final ClusterState cluster;
    private final BooleanSupplier leaseHeld;
    private final FencingTokens tokens;
    private long tokenRaises;

    /** How commands reach a worker. */
    enum Delivery {
        /** In the response to a heartbeat. */
        HEARTBEAT_RESPONSE,

        /** In a separate request, which may overtake the response to a heartbeat. */
        DIRECT;

        /** Returns the name for log lines. */
        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Creates the planner of one term; {@code leaseHeld} returns whether this controller holds the leader's lease. */
    CommandPlanner(ClusterState cluster, BooleanSupplier leaseHeld, FencingTokens tokens) {
        this.cluster = cluster;
        this.leaseHeld = leaseHeld;
        this.tokens = tokens;
    }

    /**
     * Returns all commands that the worker needs. A controller that does not hold the leader's lease only stops tasks
     * of cancelled jobs. Starts and clears are recorded as sent, and the machine's token may be raised, so the caller
     * has to send the result with the present token.
     */
    List<WorkerCommand> commandsFor(Machine machine, Delivery delivery) {
        List<WorkerCommand> commands = new ArrayList<>();
        if (!leaseHeld.getAsBoolean()) {
            addKillsOfCancelledTasks(machine, commands);
            return commands;
        }
        if (delivery == Delivery.HEARTBEAT_RESPONSE) {
            raiseTokenIfNeeded(machine);
        }
        for (Heartbeat.TaskStatus status : machine.reportedTasks()) {
            if (!machine.isAssigned(status)) {
                addCommandForUnassignedTask(machine, status, delivery, commands);
            }
        }
        for (TaskAssignment assignment : machine.assignments().values()) {
            if (assignment.startable()
                    && assignment.incarnation() == machine.agent().incarnation()) {
                addCommandsForAssignment(machine, assignment, delivery, commands);
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

    private void raiseTokenIfNeeded(Machine machine) {
        StartFence fence = machine.agent().startFence();
        if (machine.hasAcknowledgedTerm(tokens.first())
                && tokens.canRaise(fence.raises())
                && HeldAttempts.needRaise(machine)) {
            fence.raise();
            tokenRaises++;
        }
    }

    /** Returns how often the token of any machine was raised in this term. */
    long tokenRaises() {
        return tokenRaises;
    }

    private void addCommandForUnassignedTask(
            Machine machine, Heartbeat.TaskStatus status, Delivery delivery, List<WorkerCommand> commands) {
        if (status.phase() != Heartbeat.TaskPhase.EXITED) {
            commands.add(new WorkerCommand(WorkerCommand.Kind.KILL, status.taskId(), status.attempt(), 0));
        } else if (delivery == Delivery.HEARTBEAT_RESPONSE && clearable(machine, status)) {
            commands.add(new WorkerCommand(WorkerCommand.Kind.CLEAR, status.taskId(), status.attempt(), 0));
            machine.agent().recordClear(status.attemptId());
        }
    }

    /**
     * Returns whether an exited task may be cleared in the response to a heartbeat. A direct clear could overtake a
     * response that repeats the start, and a start that arrives after the clear runs the task once more: so a direct
     * start must be fenced by the token that the response shows.
     */
    private boolean clearable(Machine machine, Heartbeat.TaskStatus status) {
        AgentState agent = machine.agent();
        return machine.hasAcknowledgedTerm(tokens.first())
                && !agent.hasNonDurableOutcome(status.attemptId())
                && agent.startFence().fenced(status.attemptId());
    }

    private void addCommandsForAssignment(
            Machine machine, TaskAssignment assignment, Delivery delivery, List<WorkerCommand> commands) {
        if (needsStart(machine, assignment, delivery)) {
            if (assignment.job().cancellationConfirmed() && !assignment.startSent()) {
                cluster.invariants()
                        .violated(
                                InvariantMonitor.Invariant.NO_START_AFTER_CONFIRMED_CANCELLATION,
                                "attempt=" + assignment.attemptId() + " machine=" + machine.name());
            }
            commands.add(new WorkerCommand(WorkerCommand.Kind.RUN, assignment.taskId(), assignment.attempt(), 0));
            assignment.markStartSent();
            if (delivery == Delivery.DIRECT) {
                machine.agent().startFence().recordDirectStart(assignment.attemptId());
            }
        }
        if (needsKill(assignment)) {
            commands.add(new WorkerCommand(
                    WorkerCommand.Kind.KILL, assignment.taskId(), assignment.attempt(), assignment.stopGraceS()));
        }
    }

    /** A direct start needs a higher token to be fenced later; the last token only goes with heartbeats. */
    private boolean needsStart(Machine machine, TaskAssignment assignment, Delivery delivery) {
        return assignment.phase() == null
                && !assignment.stopping()
                && (delivery == Delivery.HEARTBEAT_RESPONSE
                        || tokens.canRaise(machine.agent().startFence().raises()));
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
