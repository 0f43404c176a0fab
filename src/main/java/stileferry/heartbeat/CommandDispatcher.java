package stileferry.heartbeat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.leadership.LeaderElection;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.JobSpec;
import stileferry.protocol.WorkerCommand;
import stileferry.protocol.WorkerMessages;

/** Decides what workers shall do, and sends it to them without waiting for their reports where that is worth it. */
public final class CommandDispatcher {
    private static final long ANNOUNCE_MS = 100;

    /** A question without a task in it waits for so many report intervals: many may be asked that can't answer. */
    private static final double ASK_REPORTS = 0.25;

    /** At least this long, as packets get lost. */
    private static final long LEAST_ASK_MS = 1000;

    /** Announcements at a time on a small fleet, which must not wait for what only a large one needs. */
    private static final int LEAST_ANNOUNCEMENTS = 10;

    /** So many times fewer announcements when there is too much to do. */
    private static final int FEWER_WHEN_BEHIND = 5;

    private final ClusterState cluster;
    private final Environment environment;
    private final LeaderElection leadership;
    private final long term;
    private final EventLoopLag eventLoopLag;
    private final Answers answers;
    private final long reportMs;
    private final long cancelMs;
    private final long askMs;
    private final int maxInFlight;
    private final ArrayDeque<Machine> toAnnounceTo = new ArrayDeque<>();
    private final Set<Machine> wanted = new LinkedHashSet<>();
    private final Set<Machine> toAsk = new LinkedHashSet<>();
    private final Set<Machine> inFlight = new LinkedHashSet<>();
    private boolean closed;

    /** Takes what workers answer to commands. */
    interface Answers {
        /** A worker has answered with where it stands. */
        void answered(Machine machine, Heartbeat report);
    }

    CommandDispatcher(
            ClusterState cluster,
            Environment environment,
            LeaderElection leadership,
            long term,
            EventLoopLag eventLoopLag,
            Answers answers) {
        this.cluster = cluster;
        this.environment = environment;
        this.leadership = leadership;
        this.term = term;
        this.eventLoopLag = eventLoopLag;
        this.answers = answers;
        this.reportMs = Math.round(cluster.settings().workers().heartbeatIntervalS() * 1000);
        this.cancelMs = Math.round(cluster.settings().workers().cancelS() * 1000);
        this.askMs = Math.max(LEAST_ASK_MS, Math.round(reportMs * ASK_REPORTS));
        this.maxInFlight = cluster.settings().socketBudget().commands();
    }

    void close() {
        closed = true;
    }

    /** All that the worker should do and has not been seen to have done; as far as this node is sure to lead. */
    List<WorkerCommand> signals(Machine machine, boolean inAnswer) {
        List<WorkerCommand> signals = new ArrayList<>();
        if (!leadership.leaseHeld()) {
            stopCancelled(machine, signals);
            return signals;
        }
        long now = environment.now();
        for (Heartbeat.TaskStatus status : machine.reportedTasks()) {
            TaskAssignment assignment = machine.assignments().get(status.taskId());
            boolean claimed = assignment != null && assignment.attempt() == status.attempt();
            if (claimed) {
                continue;
            }
            if (status.phase() != Heartbeat.TaskPhase.EXITED) {
                signals.add(new WorkerCommand(WorkerCommand.Kind.KILL, status.taskId(), status.attempt(), 0));
            } else if (inAnswer
                    && machine.acknowledgedTerm(term)
                    && !machine.agent().outcomesNotDurable().contains(status.attemptId())
                    && !machine.agent().unansweredStarts().containsKey(status.attemptId())) {
                // Only in answers to reports: a direct one could overtake an answer that repeats the start, and
                // after a clear a repeated start runs the task once more.
                signals.add(new WorkerCommand(WorkerCommand.Kind.CLEAR, status.taskId(), status.attempt(), 0));
            }
        }
        for (TaskAssignment assignment : machine.assignments().values()) {
            if (!assignment.startable()
                    || assignment.incarnation() != machine.agent().incarnation()) {
                continue;
            }
            boolean lateCancel = assignment.job().cancelled() && now - assignment.stopRequestedAt() > cancelMs / 2;
            if (assignment.phase() == null
                    && (!assignment.stopping()
                            || machine.agent().unansweredStarts().containsKey(assignment.attemptId())
                                    && inAnswer
                                    && !lateCancel)) {
                // For a stopped task an unanswered start is made harmless by letting the worker know the attempt.
                signals.add(new WorkerCommand(WorkerCommand.Kind.RUN, assignment.taskId(), assignment.attempt(), 0));
                assignment.markStartSent();
                if (!inAnswer) {
                    machine.agent().unansweredStarts().merge(assignment.attemptId(), 1, Integer::sum);
                }
            }
            if (assignment.stopping()
                    && assignment.phase() != Heartbeat.TaskPhase.EXITED
                    && !(assignment.phase() == Heartbeat.TaskPhase.SAVING_CHECKPOINT && assignment.stopGraceS() > 0)) {
                signals.add(new WorkerCommand(
                        WorkerCommand.Kind.KILL, assignment.taskId(), assignment.attempt(), assignment.stopGraceS()));
            }
        }
        return signals;
    }

    private static boolean hasCancelled(Machine machine) {
        return machine.assignments().values().stream().anyMatch(c -> c.job().cancellationDurable());
    }

    /** Whoever leads, a job whose cancellation is durable stays cancelled, and its tasks have to go. */
    private static void stopCancelled(Machine machine, List<WorkerCommand> signals) {
        for (TaskAssignment assignment : machine.assignments().values()) {
            if (assignment.job().cancellationDurable()
                    && assignment.stopping()
                    && assignment.incarnation() == machine.agent().incarnation()
                    && assignment.phase() != Heartbeat.TaskPhase.EXITED) {
                signals.add(new WorkerCommand(WorkerCommand.Kind.KILL, assignment.taskId(), assignment.attempt(), 0));
            }
        }
    }

    /** Wants this machine to be asked where it stands. */
    void ask(Machine machine) {
        toAsk.add(machine);
    }

    /** Wants commands to go out to this machine without waiting for its next report. */
    public void sendSoon(Machine machine) {
        wanted.add(machine);
    }

    /** Tells every machine that was not heard yet this term, a few at a time: most will have reported before. */
    public void announceTerm() {
        cluster.machines().values().forEach(machine -> {
            if (!machine.agent().heardThisTerm()) {
                toAnnounceTo.add(machine);
            }
        });
        announceToSome();
    }

    private void announceToSome() {
        int some = LEAST_ANNOUNCEMENTS + (int) (cluster.machines().size() * ANNOUNCE_MS / (2 * reportMs));
        if (eventLoopLag.overloaded()) {
            some = Math.max(1, some / FEWER_WHEN_BEHIND); // most will come by themselves
        }
        while (!closed && some > 0 && !toAnnounceTo.isEmpty() && mayAsk()) {
            Machine machine = toAnnounceTo.poll();
            if (!machine.agent().heardThisTerm() && !machine.instance().terminating()) {
                some--;
                announceTo(machine);
            }
        }
        if (!closed && !toAnnounceTo.isEmpty()) {
            environment.schedule(ANNOUNCE_MS, this::announceToSome);
        }
    }

    /** Questions to machines that may not answer leave room for commands to those that do. */
    private boolean mayAsk() {
        return inFlight.size() < Math.max(1, maxInFlight / 2);
    }

    /** Notes machines in doubt, to be asked whether they hear us, and silent ones, whether they are there. */
    public void queueProbes() {
        long now = environment.now();
        for (Machine machine : cluster.machines().values()) {
            boolean doubtful = machine.agent().unreachableSince() != 0
                    && now - machine.agent().unreachableSince() > reportMs / 2;
            boolean silent = machine.agent().heardThisTerm()
                    && !machine.assignments().isEmpty()
                    && now - machine.agent().lastHeardAt() > FailureDetector.SILENT_AFTER_REPORTS * reportMs;
            if ((doubtful || silent)
                    && !machine.instance().terminating()
                    && !machine.address().isEmpty()
                    && !inFlight.contains(machine)) {
                toAsk.add(machine);
            }
        }
    }

    /** Sends what was wanted since the last turn; machines not heard lately get it in answer to their reports. */
    public void sendQueued() {
        if (closed) {
            return;
        }
        boolean sure = leadership.leaseHeld();
        if (sure) {
            askSome();
        }
        if (wanted.isEmpty()) {
            return;
        }
        for (Machine machine : List.copyOf(wanted)) {
            if (inFlight.contains(machine)) {
                continue; // again when the answer is there
            }
            if (inFlight.size() >= maxInFlight) {
                return; // sockets are few; the rest goes out as answers come
            }
            if (!sure && !hasCancelled(machine)) {
                continue; // all else waits until this node is sure again
            }
            wanted.remove(machine);
            if (!machine.agent().heardThisTerm()
                    || machine.instance().terminating()
                    || machine.address().isEmpty()
                    || environment.now() - machine.agent().lastHeardAt() > 2 * reportMs
                    || eventLoopLag.overloaded() && !hurry(machine)) {
                continue;
            }
            List<WorkerCommand> signals = signals(machine, false);
            if (!signals.isEmpty()) {
                command(machine, machine.agent().incarnation(), signals, 1, reportMs);
            }
        }
    }

    /**
     * Whether a machine should hear at once what it shall do, although a command costs as much as several reports and
     * its next report will be answered with it: critical tasks wait to start there, or a task has to make room.
     */
    private static boolean hurry(Machine machine) {
        for (TaskAssignment assignment : machine.assignments().values()) {
            if (assignment.stopping()
                    || assignment.phase() == null && assignment.job().spec().priority() == JobSpec.Priority.CRITICAL) {
                return true;
            }
        }
        return false;
    }

    /** Asks machines as answers come: after a change of leader, or a cut, all of them may be in doubt at once. */
    private void askSome() {
        while (!toAsk.isEmpty() && mayAsk()) {
            Machine machine = toAsk.iterator().next();
            toAsk.remove(machine);
            if (!machine.instance().terminating() && !inFlight.contains(machine)) {
                command(machine, machine.agent().incarnation(), List.of(), 1, askMs);
            }
        }
    }

    /** Makes this term known to a worker at once, so that it tells where it stands and ignores older leaders. */
    void announceTo(Machine machine) {
        if (!machine.address().isEmpty()
                && !machine.agent().heardThisTerm()
                && !machine.instance().terminating()) {
            long session = Math.max(1, machine.agent().incarnation());
            for (TaskAssignment assignment : machine.assignments().values()) {
                session = Math.max(session, assignment.incarnation());
            }
            command(machine, session, List.of(), 2, askMs);
        }
    }

    private void command(Machine machine, long session, List<WorkerCommand> signals, int tries, long timeoutMs) {
        inFlight.add(machine);
        environment.request(
                machine.address(),
                "POST",
                "/commands",
                WorkerMessages.directCommands(term, session, signals),
                timeoutMs,
                (status, body) -> {
                    inFlight.remove(machine);
                    if (closed) {
                        return;
                    }
                    if (status == 200 || status == 409 || status == Environment.NOT_SENT) {
                        for (WorkerCommand s : signals) {
                            if (s.kind() == WorkerCommand.Kind.RUN) {
                                machine.agent()
                                        .unansweredStarts()
                                        .computeIfPresent(s.attemptId(), (a, n) -> n == 1 ? null : n - 1);
                            }
                        }
                    }
                    Heartbeat heartbeat = status == 200 || status == 409 ? Heartbeat.read(body) : null;
                    if (heartbeat == null || !heartbeat.machine().equals(machine.name())) {
                        return; // no answer, or another machine that has the address now
                    }
                    if (heartbeat.fencingToken() > term) {
                        leadership.observeTerm(heartbeat.fencingToken(), "");
                        return;
                    }
                    machine.agent().markReachable(); // it has heard this
                    answers.answered(machine, heartbeat);
                    if (status == 409 && tries > 1 && heartbeat.incarnation() != session) {
                        command(machine, heartbeat.incarnation(), List.of(), tries - 1, timeoutMs);
                    }
                });
    }
}
