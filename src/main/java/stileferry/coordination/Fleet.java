package stileferry.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.JobSpec;
import stileferry.protocol.Messages;
import stileferry.protocol.Messages.Signal;
import stileferry.protocol.Outside;
import stileferry.protocol.Report;
import stileferry.protocol.Wire;

/**
 * Dealings with the workers in one term: takes their reports, decides what is proven by them, and says what they
 * shall do. Silence proves nothing; only an exit, a higher session, a lapsed lease or a deleted machine does.
 */
final class Fleet {
    private static final Logger LOG = LoggerFactory.getLogger("fleet");

    /** Clocks drift by 0.05% at most; twice that, and a little for timers and packets. */
    private static final double DRIFT = 0.001;

    private static final long LAPSE_SLACK_MS = 500;
    private static final long GREET_MS = 100;

    /** A question without a task in it waits for so many report intervals: many may be asked that can't answer. */
    private static final double ASK_REPORTS = 0.25;

    /** At least this long, as packets get lost. */
    private static final long LEAST_ASK_MS = 1000;

    /** Greetings at a time on a small fleet, which must not wait for what only a large one needs. */
    private static final int LEAST_GREETINGS = 10;

    /** So many times fewer greetings when there is too much to do. */
    private static final int SLOWER_GREETINGS = 5;

    /** Reports come a quarter late at most. */
    private static final double PROBE_AFTER_REPORTS = 1.4;

    /** A worker that can't reach this node comes back by way of the others well before. */
    private static final double LOST_AFTER_LEASES = 0.55;

    /** What a failed report costs a worker: its patience, and the pause before it tries the next controller. */
    private static final long DETOUR_MS = 5000;

    /** Services run on ordinary machines, so these may fail twice: on a small fleet one cost them too often. */
    private static final int DETOURS = 2;

    /** Report intervals between two reports, at most. */
    private static final double LATE_REPORT = 1.25;

    /** Silent machines of a zone, as a share of all, above which the network is at fault rather than each of them. */
    private static final double LOST_SHARE = 0.5;

    private final Board board;
    private final Outside outside;
    private final Leadership leadership;
    private final long term;
    private final Events events;
    private final Silences silences;
    private final Lateness lateness;
    private final long reportMs;
    private final long leaseMs;
    private final long cancelMs;
    private final long askMs;
    private final int maxInFlight;
    private final ArrayDeque<Machine> greetings = new ArrayDeque<>();
    private final Set<Machine> nudged = new LinkedHashSet<>();
    private final Set<Machine> toAsk = new LinkedHashSet<>();
    private final Set<Machine> inFlight = new LinkedHashSet<>();
    private final Map<String, Long> darkAt = new HashMap<>();
    private final byte[] nothing;
    private boolean closed;

    /** What becomes known of claimed tasks. */
    interface Events {
        /** The task has exited; its claim is to be settled. */
        void exited(Machine machine, Claim claim, Report.TaskState state);

        /** It is proven that the task is not on its machine and can't come there any more. */
        void gone(Claim claim, String proof);

        /** All tasks of a gang run. */
        void gangRuns(Job job);

        /** A task has to leave its machine; a gang's others have to stop with it. */
        void stopWhole(Claim claim, double graceS);

        /** Something changed that a pass may use. */
        void changed();
    }

    Fleet(
            Board board,
            Outside outside,
            Leadership leadership,
            long term,
            Events events,
            Silences silences,
            Lateness lateness) {
        this.silences = silences;
        this.lateness = lateness;
        this.board = board;
        this.outside = outside;
        this.leadership = leadership;
        this.term = term;
        this.events = events;
        this.reportMs = Math.round(board.settings.workers().reportS() * 1000);
        this.leaseMs = Math.round(board.settings.workers().leaseS() * 1000);
        this.maxInFlight = board.settings.sockets().commands();
        this.askMs = Math.max(LEAST_ASK_MS, Math.round(reportMs * ASK_REPORTS));
        this.cancelMs = Math.round(board.settings.workers().cancelS() * 1000);
        this.nothing = Wire.encode(Messages.signals(term, List.of()));
    }

    void close() {
        closed = true;
    }

    /** Takes a report and replies with the answer's body; null when this report must not be answered with 200. */
    void report(Report r, Consumer<byte[]> reply) {
        Machine m = mayAnswer(r) ? board.machine(r.machine()) : null;
        if (m == null) {
            reply.accept(null);
        } else if (m.silence != null) {
            m.heardAt = outside.now(); // it is there, so it is not given up, however long this takes
            silences.heard(m, () -> reply.accept(mayAnswer(r) ? answer(m, r) : null), () -> reply.accept(null));
        } else {
            reply.accept(answer(m, r));
        }
    }

    private boolean mayAnswer(Report r) {
        if (!leadership.mayRenew()) {
            return false; // another leader may have confirmed cancellations that are unknown here
        }
        if (board.deleted.contains(r.machine())) {
            return false; // sent before the machine was deleted
        }
        Machine m = board.machine(r.machine());
        if (m.deleting || r.session() <= m.lapsedSession) {
            return false; // its lease may not be renewed: what was on it is counted as gone, or about to be
        }
        // a late copy otherwise: a worker has one report in flight, so nobody waits for the answer
        return r.session() >= m.session && (r.session() != m.reportSession || r.seq() > m.reportSeq);
    }

    private byte[] answer(Machine m, Report r) {
        m.reportSession = r.session();
        m.reportSeq = r.seq();
        if (m.sameAsBefore(r) && r.seq() > m.seq) {
            m.seq = r.seq();
            m.last = r;
            m.heardAt = outside.now();
            m.answeredAt = m.heardAt;
            m.answeredRuns = Set.of();
            return nothing;
        }
        doubt(m, r);
        boolean fresh = take(m, r, true);
        m.answeredAt = outside.now();
        List<Signal> signals = fresh ? signals(m, true) : List.of();
        m.answeredRuns = keys(signals);
        return signals.isEmpty() ? nothing : Wire.encode(Messages.signals(term, signals));
    }

    /**
     * Our answers may not reach a worker whose reports reach us. It shows when a session ends although we answered
     * within its lease, or when starts in an answer were neither carried out nor refused. Such a machine gets no work
     * until it has answered something that we sent.
     */
    private void doubt(Machine m, Report r) {
        if (!m.accepted(term) || m.unreachedSince != 0) {
            return;
        }
        boolean lapsedUnderAnswers =
                r.session() > m.session && m.session > 0 && m.answeredAt != 0 && outside.now() - m.answeredAt < leaseMs;
        boolean unheeded = r.session() == m.session && r.seq() > m.seq && !m.answeredRuns.isEmpty() && unheeded(m, r);
        if (lapsedUnderAnswers || unheeded) {
            LOG.info(
                    "machine {} reports but seems not to hear: {}",
                    m.name,
                    lapsedUnderAnswers ? "its lease lapsed while it was answered" : "it left starts alone");
            m.unreachedSince = outside.now();
        }
    }

    private static boolean unheeded(Machine m, Report r) {
        Set<String> told = new HashSet<>();
        r.tasks().forEach(t -> told.add(t.key()));
        for (Claim c : m.claims.values()) {
            if (c.stage == null && m.answeredRuns.contains(c.key) && !told.contains(c.key)) {
                return true;
            }
        }
        return false;
    }

    private static Set<String> keys(List<Signal> signals) {
        Set<String> keys = Set.of();
        for (Signal s : signals) {
            if (s.kind() == Signal.Kind.RUN) {
                keys = keys.isEmpty() ? new HashSet<>() : keys;
                keys.add(s.key());
            }
        }
        return keys;
    }

    /** Answers a report before the claims have been read: the lease is renewed, and cancelled jobs are stopped. */
    byte[] hold(Report r) {
        Machine m = board.machine(r.machine());
        m.addr = r.addr();
        m.answeredAt = outside.now();
        List<Signal> stops = leadership.cancellations().stops(r);
        return stops.isEmpty() ? nothing : Wire.encode(Messages.signals(term, stops));
    }

    /** Takes in what a worker says. False when something newer was heard before. */
    private boolean take(Machine m, Report r, boolean inOrder) {
        if (r.session() < m.session || r.session() == m.session && r.seq() <= m.seq || r.session() <= m.lapsedSession) {
            return false;
        }
        long now = outside.now();
        if (!m.heard || r.session() > m.session) {
            m.idleSince = now;
            events.changed();
        }
        if (!m.heard && m.booting) {
            LOG.info("machine {} is up in {} after {} s", m.name, r.zone(), (now - m.rentedAt) / 1000);
        }
        if (r.session() > m.session) {
            m.sessionSeenAt = now;
            m.openRuns.clear();
            m.settling.clear();
        }
        if (!m.heard && r.token() < term) {
            m.unreachedSince = now; // until it shows our term: this may be a late copy of what a dead machine said
            if (!lateness.behind()) {
                toAsk.add(m); // its next report will show it too, but work may be waiting
            }
        } else if (m.token < term && r.token() >= term) {
            m.unreachedSince = 0;
            events.changed();
        }
        m.heard = true;
        m.booting = false;
        m.heardAt = now;
        m.session = r.session();
        m.seq = r.seq();
        m.token = r.token();
        m.addr = r.addr();
        m.typeName = r.type();
        m.type = board.type(r.type());
        m.spot = r.spot();
        board.setZone(m, r.zone());
        board.rooms.update(m);
        if (r.noticeS() >= 0 && m.noticeS < 0) {
            LOG.info("machine {} will be taken in {} s", m.name, r.noticeS());
            m.noticeS = r.noticeS();
            leave(m, now);
        }
        m.last = r;
        m.strays = false;
        m.asWanted = r.tasks().size() == m.claims.size(); // until a claim is found that is not as it should be
        Map<String, Report.TaskState> reported = new HashMap<>();
        for (Report.TaskState t : r.tasks()) {
            Claim c = m.claims.get(t.task());
            if (c != null && c.durable && c.attempt == t.attempt() && c.session == r.session()) {
                reported.put(t.task(), t);
            } else if (t.stage() != Report.Stage.EXITED) {
                m.strays = true;
                nudge(m);
            }
        }
        m.asWanted &= reported.size() == m.claims.size();
        for (Claim c : List.copyOf(m.claims.values())) {
            Report.TaskState t = reported.get(c.name);
            if (c.session < r.session()) {
                events.gone(c, "session");
            } else if (t != null) {
                m.asWanted &= t.stage() != Report.Stage.EXITED && !c.stopping();
                see(m, c, t, now);
            } else if (c.stopping()
                    && inOrder
                    && c.durable
                    && c.stage == null
                    && m.accepted(term)
                    && !m.openRuns.containsKey(c.key)) {
                // A worker has one report in flight: every answer with a start in it was carried out or dropped
                // before this report, no direct start is unanswered, and older leaders are not obeyed any more.
                events.gone(c, "never started");
            }
        }
        return true;
    }

    private void see(Machine m, Claim c, Report.TaskState t, long now) {
        if (c.stage != t.stage()) {
            c.stage = t.stage();
            switch (t.stage()) {
                case WAITING -> m.holds(c.job.spec.image(), c.job.spec.imageGb());
                case RUNNING, SAVING -> running(m, c, now);
                default -> {}
            }
        }
        if (t.stage() == Report.Stage.EXITED) {
            events.exited(m, c, t);
        }
    }

    private void running(Machine m, Claim c, long now) {
        if (c.runningAt != 0) {
            return;
        }
        c.runningAt = now;
        LOG.debug(
                "{} of {} runs on {} in {}, ordered {} ms ago",
                c.name,
                c.job.spec.jobClass(),
                m.name,
                m.zone,
                c.orderedAt == 0 ? -1 : now - c.orderedAt);
        c.job.begun = true;
        m.holds(c.job.spec.image(), c.job.spec.imageGb());
        if (c.job.spec.gang() && c.job.runningCount() == c.job.spec.tasks()) {
            events.gangRuns(c.job);
        }
    }

    /** What a notice asks for: save what can be saved, and move what has to run elsewhere. */
    private void leave(Machine m, long now) {
        for (Claim c : List.copyOf(m.claims.values())) {
            if (c.job.spec.gang()) {
                if (c.job.spec.estimateS() - c.ranMs(now) / 1000.0 > m.noticeS) {
                    events.stopWhole(c, c.job.spec.saveS() <= m.noticeS ? c.job.spec.saveS() : 0);
                }
            } else if (c.job.spec.service()) {
                board.stop(c, 0, now);
            } else if (c.job.spec.checkpointS() > 0) {
                board.stop(c, c.job.spec.saveS(), now);
            } else if (c.job.spec.estimateS() - c.ranMs(now) / 1000.0 > m.noticeS) {
                board.stop(c, 0, now); // it would be lost all the same, only later
            }
        }
        nudge(m);
        events.changed();
    }

    /** All that the worker should do and has not been seen to have done; as far as this node is sure to lead. */
    private List<Signal> signals(Machine m, boolean inAnswer) {
        List<Signal> signals = new ArrayList<>();
        if (!leadership.sure()) {
            stopCancelled(m, signals);
            return signals;
        }
        long now = outside.now();
        for (Report.TaskState t : m.lastTasks()) {
            Claim c = m.claims.get(t.task());
            boolean claimed = c != null && c.attempt == t.attempt();
            if (claimed) {
                continue;
            }
            if (t.stage() != Report.Stage.EXITED) {
                signals.add(new Signal(Signal.Kind.KILL, t.task(), t.attempt(), 0));
            } else if (inAnswer
                    && m.accepted(term)
                    && !m.settling.contains(t.key())
                    && !m.openRuns.containsKey(t.key())) {
                // Only in answers to reports: a direct one could overtake an answer that repeats the start, and
                // after a clear a repeated start runs the task once more.
                signals.add(new Signal(Signal.Kind.CLEAR, t.task(), t.attempt(), 0));
            }
        }
        for (Claim c : m.claims.values()) {
            if (!c.startable() || c.session != m.session) {
                continue;
            }
            boolean lateCancel = c.job.cancelled && now - c.stopAskedAt > cancelMs / 2;
            if (c.stage == null && (!c.stopping() || m.openRuns.containsKey(c.key) && inAnswer && !lateCancel)) {
                // For a stopped task an unanswered start is made harmless by letting the worker know the attempt.
                signals.add(new Signal(Signal.Kind.RUN, c.name, c.attempt, 0));
                c.runsSent++;
                if (!inAnswer) {
                    m.openRuns.merge(c.key, 1, Integer::sum);
                }
            }
            if (c.stopping()
                    && c.stage != Report.Stage.EXITED
                    && !(c.stage == Report.Stage.SAVING && c.stopGraceS > 0)) {
                signals.add(new Signal(Signal.Kind.KILL, c.name, c.attempt, c.stopGraceS));
            }
        }
        return signals;
    }

    private static boolean hasCancelled(Machine m) {
        return m.claims.values().stream().anyMatch(c -> c.job.cancelDurable);
    }

    /** Whoever leads, a job whose cancellation is durable stays cancelled, and its tasks have to go. */
    private static void stopCancelled(Machine m, List<Signal> signals) {
        for (Claim c : m.claims.values()) {
            if (c.job.cancelDurable && c.stopping() && c.session == m.session && c.stage != Report.Stage.EXITED) {
                signals.add(new Signal(Signal.Kind.KILL, c.name, c.attempt, 0));
            }
        }
    }

    /** Wants commands to go out to this machine without waiting for its next report. */
    void nudge(Machine m) {
        nudged.add(m);
    }

    /** Greets every machine that was not heard yet, a few at a time: most will have reported when it is their turn. */
    void greetAll() {
        board.machines.values().forEach(m -> {
            if (!m.heard) {
                greetings.add(m);
            }
        });
        greetSome();
    }

    private void greetSome() {
        int some = LEAST_GREETINGS + (int) (board.machines.size() * GREET_MS / (2 * reportMs));
        if (lateness.behind()) {
            some = Math.max(1, some / SLOWER_GREETINGS); // most will come by themselves
        }
        while (!closed && some > 0 && !greetings.isEmpty() && mayAsk()) {
            Machine m = greetings.poll();
            if (!m.heard && !m.deleting) {
                some--;
                greet(m);
            }
        }
        if (!closed && !greetings.isEmpty()) {
            outside.after(GREET_MS, this::greetSome);
        }
    }

    /** Questions to machines that may not answer leave room for commands to those that do. */
    private boolean mayAsk() {
        return inFlight.size() < Math.max(1, maxInFlight / 2);
    }

    /** Notes machines in doubt, to be asked whether they hear us, and silent ones, whether they are there. */
    void probe() {
        long now = outside.now();
        for (Machine m : board.machines.values()) {
            boolean doubtful = m.unreachedSince != 0 && now - m.unreachedSince > reportMs / 2;
            boolean silent = m.heard && !m.claims.isEmpty() && now - m.heardAt > PROBE_AFTER_REPORTS * reportMs;
            if ((doubtful || silent) && !m.deleting && !m.addr.isEmpty() && !inFlight.contains(m)) {
                toAsk.add(m);
            }
        }
    }

    /** Sends what was wanted since the last turn; machines not heard lately get it in answer to their reports. */
    void send() {
        if (closed) {
            return;
        }
        boolean sure = leadership.sure();
        if (sure) {
            ask();
        }
        if (nudged.isEmpty()) {
            return;
        }
        for (Machine m : List.copyOf(nudged)) {
            if (inFlight.contains(m)) {
                continue; // again when the answer is there
            }
            if (inFlight.size() >= maxInFlight) {
                return; // sockets are few; the rest goes out as answers come
            }
            if (!sure && !hasCancelled(m)) {
                continue; // all else waits until this node is sure again
            }
            nudged.remove(m);
            if (!m.heard
                    || m.deleting
                    || m.addr.isEmpty()
                    || outside.now() - m.heardAt > 2 * reportMs
                    || lateness.behind() && !hurry(m)) {
                continue;
            }
            List<Signal> signals = signals(m, false);
            if (!signals.isEmpty()) {
                command(m, m.session, signals, 1, reportMs);
            }
        }
    }

    /**
     * Whether a machine should hear at once what it shall do, although a command costs as much as several reports and
     * its next report will be answered with it: critical tasks wait to start there, or a task has to make room.
     */
    private static boolean hurry(Machine m) {
        for (Claim c : m.claims.values()) {
            if (c.stopping() || c.stage == null && c.job.spec.priority() == JobSpec.Priority.CRITICAL) {
                return true;
            }
        }
        return false;
    }

    /** Asks machines as answers come: after a change of leader, or a cut, all of them may be in doubt at once. */
    private void ask() {
        while (!toAsk.isEmpty() && mayAsk()) {
            Machine m = toAsk.iterator().next();
            toAsk.remove(m);
            if (!m.deleting && !inFlight.contains(m)) {
                command(m, m.session, List.of(), 1, askMs);
            }
        }
    }

    /** Makes this term known to a worker at once, so that it tells where it stands and ignores older leaders. */
    void greet(Machine m) {
        if (!m.addr.isEmpty() && !m.heard && !m.deleting) {
            long session = Math.max(1, m.session);
            for (Claim c : m.claims.values()) {
                session = Math.max(session, c.session);
            }
            command(m, session, List.of(), 2, askMs);
        }
    }

    private void command(Machine m, long session, List<Signal> signals, int tries, long timeoutMs) {
        inFlight.add(m);
        outside.call(
                m.addr, "POST", "/commands", Messages.commands(term, session, signals), timeoutMs, (status, body) -> {
                    inFlight.remove(m);
                    if (closed) {
                        return;
                    }
                    if (status == 200 || status == 409 || status == Outside.NOT_SENT) {
                        for (Signal s : signals) {
                            if (s.kind() == Signal.Kind.RUN) {
                                m.openRuns.computeIfPresent(s.key(), (a, n) -> n == 1 ? null : n - 1);
                            }
                        }
                    }
                    Report r = status == 200 || status == 409 ? Report.read(body) : null;
                    if (r == null || !r.machine().equals(m.name)) {
                        return; // no answer, or another machine that has the address now
                    }
                    if (r.token() > term) {
                        leadership.learn(r.token(), "");
                        return;
                    }
                    m.unreachedSince = 0; // it has heard this
                    take(m, r, false);
                    if (status == 409 && tries > 1 && r.session() != session) {
                        command(m, r.session(), List.of(), tries - 1, timeoutMs);
                    }
                });
    }

    /**
     * When any controller can last have renewed the lease of a machine in a session; -1: unknown. A session that was
     * only seen in answers to commands has a lease of its own, which no answer to a report has begun.
     */
    private long lastAnswered(Machine m, long session, long acked) {
        if (m.answeredAt > 0 && m.accepted(term)) {
            return Math.max(m.answeredAt, m.sessionSeenAt);
        }
        if (m.answeredBefore >= 0 && !m.heard && session <= m.answeredBeforeSession) {
            return Math.max(m.answeredBefore, m.answeredAt);
        }
        return acked >= 0 ? Math.max(acked, Math.max(m.answeredAt, m.sessionSeenAt)) : -1;
    }

    /** Looks for leases that have lapsed for certain. */
    void checkLeases() {
        long now = outside.now();
        long acked = leadership.allAckedAt();
        for (Machine m : board.machines.values()) {
            long over = m.session;
            for (Claim c : m.claims.values()) {
                over = Math.max(over, c.session);
            }
            long since = lastAnswered(m, over, acked);
            if (since >= 0 && over > m.lapsedSession) {
                silences.note(m, over, since);
            }
            if (since < 0 || now < since + Math.round(leaseMs * (1 + DRIFT)) + LAPSE_SLACK_MS) {
                continue;
            }
            if (over > m.lapsedSession) {
                m.lapsedSession = over;
                if (m.heard || !m.claims.isEmpty()) {
                    LOG.info("machine {} is silent, its lease has lapsed with {} tasks", m.name, m.claims.size());
                }
                for (Claim c : List.copyOf(m.claims.values())) {
                    events.gone(c, "lease");
                }
                events.changed();
            }
        }
    }

    /** The cloud has confirmed that a machine is gone with all that was on it. */
    void deleted(Machine m) {
        for (Claim c : List.copyOf(m.claims.values())) {
            events.gone(c, "machine deleted");
        }
        board.forget(m);
        events.changed();
    }

    /** Zones of which so many machines are silent that the network must be at fault, rather than each of them. */
    Set<String> darkZones(long activeSince) {
        long before = outside.now() - Math.round(PROBE_AFTER_REPORTS * reportMs);
        Map<String, int[]> zones = new HashMap<>();
        for (Machine m : board.machines.values()) {
            if (m.type != null && !m.deleting && !m.booting) {
                int[] counts = zones.computeIfAbsent(m.zone, z -> new int[2]);
                counts[0]++;
                counts[1] += lastSeen(m, activeSince) < before ? 1 : 0;
            }
        }
        Set<String> dark = new HashSet<>();
        zones.forEach((zone, counts) -> {
            if (counts[1] > Math.max(1, LOST_SHARE * counts[0])) {
                dark.add(zone);
                darkAt.put(zone, outside.now());
            }
        });
        return dark;
    }

    /** A new leader has heard nobody; who does not come in time was taken before or while it took over. */
    private static long lastSeen(Machine m, long activeSince) {
        return Math.max(m.heardAt, activeSince);
    }

    /** Machines with work that are most likely gone or hang: they neither report nor answer, though their zone does. */
    List<Machine> lost(long activeSince) {
        long forSpot = outside.now() - Math.round(LOST_AFTER_LEASES * leaseMs);
        long forOthers = Math.min(forSpot, outside.now() - Math.round(LATE_REPORT * reportMs) - DETOURS * DETOUR_MS);
        List<Machine> silent = new ArrayList<>();
        for (Machine m : board.machines.values()) {
            if (m.type != null
                    && !m.deleting
                    && !m.booting
                    && !m.claims.isEmpty()
                    && lastSeen(m, activeSince) < (m.spot ? forSpot : forOthers)) {
                silent.add(m);
            }
        }
        darkZones(activeSince);
        // for a lease's time machines may still be on their way back, some of them by way of the other controllers
        silent.removeIf(m -> darkAt.containsKey(m.zone) && outside.now() - darkAt.get(m.zone) < leaseMs);
        return silent;
    }

    /**
     * Whether a command that is sent now can be expected to arrive: the machine reports in time, and heard us before.
     */
    boolean hears(Machine m) {
        return m.heard
                && !m.deleting
                && m.unreachedSince == 0
                && outside.now() - m.heardAt <= PROBE_AFTER_REPORTS * reportMs;
    }

    /** True when nothing was heard for longer than reports can take. */
    boolean silent(Machine m) {
        return m.heard && outside.now() - m.heardAt > 2 * reportMs;
    }
}
