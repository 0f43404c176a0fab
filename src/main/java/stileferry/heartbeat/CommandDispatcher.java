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
import stileferry.protocol.Messages;
import stileferry.protocol.Messages.WorkerCommand;

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
        this.reportMs = Math.round(cluster.settings().workers().reportS() * 1000);
        this.cancelMs = Math.round(cluster.settings().workers().cancelS() * 1000);
        this.askMs = Math.max(LEAST_ASK_MS, Math.round(reportMs * ASK_REPORTS));
        this.maxInFlight = cluster.settings().sockets().commands();
    }

    void close() {
        closed = true;
    }

    /** All that the worker should do and has not been seen to have done; as far as this node is sure to lead. */
    List<WorkerCommand> signals(Machine m, boolean inAnswer) {
        List<WorkerCommand> signals = new ArrayList<>();
        if (!leadership.sure()) {
            stopCancelled(m, signals);
            return signals;
        }
        long now = environment.now();
        for (Heartbeat.TaskStatus t : m.reportedTasks()) {
            TaskAssignment c = m.assignments().get(t.taskId());
            boolean claimed = c != null && c.attempt() == t.attempt();
            if (claimed) {
                continue;
            }
            if (t.phase() != Heartbeat.TaskPhase.EXITED) {
                signals.add(new WorkerCommand(WorkerCommand.Kind.KILL, t.taskId(), t.attempt(), 0));
            } else if (inAnswer
                    && m.acknowledgedTerm(term)
                    && !m.agent().outcomesNotDurable().contains(t.attemptId())
                    && !m.agent().unansweredStarts().containsKey(t.attemptId())) {
                // Only in answers to reports: a direct one could overtake an answer that repeats the start, and
                // after a clear a repeated start runs the task once more.
                signals.add(new WorkerCommand(WorkerCommand.Kind.CLEAR, t.taskId(), t.attempt(), 0));
            }
        }
        for (TaskAssignment c : m.assignments().values()) {
            if (!c.startable() || c.incarnation() != m.agent().incarnation()) {
                continue;
            }
            boolean lateCancel = c.job().cancelled() && now - c.stopRequestedAt() > cancelMs / 2;
            if (c.phase() == null
                    && (!c.stopping()
                            || m.agent().unansweredStarts().containsKey(c.attemptId()) && inAnswer && !lateCancel)) {
                // For a stopped task an unanswered start is made harmless by letting the worker know the attempt.
                signals.add(new WorkerCommand(WorkerCommand.Kind.RUN, c.taskId(), c.attempt(), 0));
                c.setStartsSent(c.startsSent() + 1);
                if (!inAnswer) {
                    m.agent().unansweredStarts().merge(c.attemptId(), 1, Integer::sum);
                }
            }
            if (c.stopping()
                    && c.phase() != Heartbeat.TaskPhase.EXITED
                    && !(c.phase() == Heartbeat.TaskPhase.SAVING_CHECKPOINT && c.stopGraceS() > 0)) {
                signals.add(new WorkerCommand(WorkerCommand.Kind.KILL, c.taskId(), c.attempt(), c.stopGraceS()));
            }
        }
        return signals;
    }

    private static boolean hasCancelled(Machine m) {
        return m.assignments().values().stream().anyMatch(c -> c.job().cancelDurable());
    }

    /** Whoever leads, a job whose cancellation is durable stays cancelled, and its tasks have to go. */
    private static void stopCancelled(Machine m, List<WorkerCommand> signals) {
        for (TaskAssignment c : m.assignments().values()) {
            if (c.job().cancelDurable()
                    && c.stopping()
                    && c.incarnation() == m.agent().incarnation()
                    && c.phase() != Heartbeat.TaskPhase.EXITED) {
                signals.add(new WorkerCommand(WorkerCommand.Kind.KILL, c.taskId(), c.attempt(), 0));
            }
        }
    }

    /** Wants this machine to be asked where it stands. */
    void ask(Machine m) {
        toAsk.add(m);
    }

    /** Wants commands to go out to this machine without waiting for its next report. */
    public void sendSoon(Machine m) {
        wanted.add(m);
    }

    /** Tells every machine that was not heard yet this term, a few at a time: most will have reported before. */
    public void announceTerm() {
        cluster.machines().values().forEach(m -> {
            if (!m.agent().heardThisTerm()) {
                toAnnounceTo.add(m);
            }
        });
        announceToSome();
    }

    private void announceToSome() {
        int some = LEAST_ANNOUNCEMENTS + (int) (cluster.machines().size() * ANNOUNCE_MS / (2 * reportMs));
        if (eventLoopLag.behind()) {
            some = Math.max(1, some / FEWER_WHEN_BEHIND); // most will come by themselves
        }
        while (!closed && some > 0 && !toAnnounceTo.isEmpty() && mayAsk()) {
            Machine m = toAnnounceTo.poll();
            if (!m.agent().heardThisTerm() && !m.instance().terminating()) {
                some--;
                announceTo(m);
            }
        }
        if (!closed && !toAnnounceTo.isEmpty()) {
            environment.after(ANNOUNCE_MS, this::announceToSome);
        }
    }

    /** Questions to machines that may not answer leave room for commands to those that do. */
    private boolean mayAsk() {
        return inFlight.size() < Math.max(1, maxInFlight / 2);
    }

    /** Notes machines in doubt, to be asked whether they hear us, and silent ones, whether they are there. */
    public void probe() {
        long now = environment.now();
        for (Machine m : cluster.machines().values()) {
            boolean doubtful =
                    m.agent().unreachableSince() != 0 && now - m.agent().unreachableSince() > reportMs / 2;
            boolean silent = m.agent().heardThisTerm()
                    && !m.assignments().isEmpty()
                    && now - m.agent().lastHeardAt() > FailureDetector.SILENT_AFTER_REPORTS * reportMs;
            if ((doubtful || silent)
                    && !m.instance().terminating()
                    && !m.address().isEmpty()
                    && !inFlight.contains(m)) {
                toAsk.add(m);
            }
        }
    }

    /** Sends what was wanted since the last turn; machines not heard lately get it in answer to their reports. */
    public void send() {
        if (closed) {
            return;
        }
        boolean sure = leadership.sure();
        if (sure) {
            askSome();
        }
        if (wanted.isEmpty()) {
            return;
        }
        for (Machine m : List.copyOf(wanted)) {
            if (inFlight.contains(m)) {
                continue; // again when the answer is there
            }
            if (inFlight.size() >= maxInFlight) {
                return; // sockets are few; the rest goes out as answers come
            }
            if (!sure && !hasCancelled(m)) {
                continue; // all else waits until this node is sure again
            }
            wanted.remove(m);
            if (!m.agent().heardThisTerm()
                    || m.instance().terminating()
                    || m.address().isEmpty()
                    || environment.now() - m.agent().lastHeardAt() > 2 * reportMs
                    || eventLoopLag.behind() && !hurry(m)) {
                continue;
            }
            List<WorkerCommand> signals = signals(m, false);
            if (!signals.isEmpty()) {
                command(m, m.agent().incarnation(), signals, 1, reportMs);
            }
        }
    }

    /**
     * Whether a machine should hear at once what it shall do, although a command costs as much as several reports and
     * its next report will be answered with it: critical tasks wait to start there, or a task has to make room.
     */
    private static boolean hurry(Machine m) {
        for (TaskAssignment c : m.assignments().values()) {
            if (c.stopping() || c.phase() == null && c.job().spec().priority() == JobSpec.Priority.CRITICAL) {
                return true;
            }
        }
        return false;
    }

    /** Asks machines as answers come: after a change of leader, or a cut, all of them may be in doubt at once. */
    private void askSome() {
        while (!toAsk.isEmpty() && mayAsk()) {
            Machine m = toAsk.iterator().next();
            toAsk.remove(m);
            if (!m.instance().terminating() && !inFlight.contains(m)) {
                command(m, m.agent().incarnation(), List.of(), 1, askMs);
            }
        }
    }

    /** Makes this term known to a worker at once, so that it tells where it stands and ignores older leaders. */
    void announceTo(Machine m) {
        if (!m.address().isEmpty()
                && !m.agent().heardThisTerm()
                && !m.instance().terminating()) {
            long session = Math.max(1, m.agent().incarnation());
            for (TaskAssignment c : m.assignments().values()) {
                session = Math.max(session, c.incarnation());
            }
            command(m, session, List.of(), 2, askMs);
        }
    }

    private void command(Machine m, long session, List<WorkerCommand> signals, int tries, long timeoutMs) {
        inFlight.add(m);
        environment.call(
                m.address(),
                "POST",
                "/commands",
                Messages.directCommands(term, session, signals),
                timeoutMs,
                (status, body) -> {
                    inFlight.remove(m);
                    if (closed) {
                        return;
                    }
                    if (status == 200 || status == 409 || status == Environment.NOT_SENT) {
                        for (WorkerCommand s : signals) {
                            if (s.kind() == WorkerCommand.Kind.RUN) {
                                m.agent()
                                        .unansweredStarts()
                                        .computeIfPresent(s.attemptId(), (a, n) -> n == 1 ? null : n - 1);
                            }
                        }
                    }
                    Heartbeat r = status == 200 || status == 409 ? Heartbeat.read(body) : null;
                    if (r == null || !r.machine().equals(m.name())) {
                        return; // no answer, or another machine that has the address now
                    }
                    if (r.fencingToken() > term) {
                        leadership.learn(r.fencingToken(), "");
                        return;
                    }
                    m.agent().setUnreachableSince(0); // it has heard this
                    answers.answered(m, r);
                    if (status == 409 && tries > 1 && r.incarnation() != session) {
                        command(m, r.incarnation(), List.of(), tries - 1, timeoutMs);
                    }
                });
    }
}
