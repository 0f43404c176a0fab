package stileferry.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MachineType;
import stileferry.protocol.Options;
import stileferry.protocol.Outside;
import stileferry.protocol.PeerRecord;
import stileferry.protocol.Report;
import stileferry.protocol.Settings;
import stileferry.protocol.Wire;
import stileferry.storage.Ledger;
import stileferry.storage.StateClient;

/** One term of leading: reads what is durable, then serves users, workers and the queue until it is closed. */
final class Leader implements Fleet.Events {
    private static final Logger LOG = LoggerFactory.getLogger("leader");

    private static final long COALESCE_MS = 20;

    /** Passes rest for so many times as long as they take, so that reports and renewals get their turns. */
    private static final long PASS_REST = 5;

    /** Transactions that may wait for the state service before no more is taken. */
    private static final int BACKLOG_TRANSACTIONS = 4;

    /** Attempts of one term are numbered below this, so that attempts of a later term are always higher. */
    private static final long ATTEMPTS_PER_TERM = 1L << 32;

    private static final double SLOWDOWN_THRESHOLD_S = 60;

    /** Records of an older form, read and then replaced. */
    private static final String OLD_PARTS = "c/";

    private final Settings settings;
    private final Outside outside;
    private final StateClient state;
    private final Leadership leadership;
    private final EndedJobs ended;
    private final long term;
    private final Ledger ledger;
    private final Board board;
    private final Fleet fleet;
    private final Silences silences;
    private final Placement placement;
    private final Preemption preemption;
    private final Provisioning provisioning;
    private final Consolidation consolidation;
    private final Users users;
    private final GangCounters gangCounters = new GangCounters();
    private final long roundMs;

    private long numbers;
    private Admin admin;
    private boolean active;

    /** The jobs were read, so that all cancellations before this term are known. */
    private boolean cancellationsRead;

    private long activeAt;
    private boolean closed;
    private boolean passAsked;
    private boolean socketsAreFew;
    private long passTookMs;

    Leader(
            Settings settings,
            Outside outside,
            StateClient state,
            Leadership leadership,
            EndedJobs ended,
            List<MachineType> types,
            long term,
            long leaderRevision,
            Lateness lateness) {
        this.settings = settings;
        this.outside = outside;
        this.state = state;
        this.leadership = leadership;
        this.ended = ended;
        this.term = term;
        this.ledger = new Ledger(outside, state, Leadership.LEADER_KEY, leaderRevision, term, leadership::resign);
        this.board = new Board(settings);
        this.board.types = types;
        this.silences = new Silences(board, outside, ledger, leadership, term);
        this.fleet = new Fleet(board, outside, leadership, term, this, silences, lateness);
        this.placement = new Placement(board);
        this.preemption = new Preemption(board, placement);
        this.provisioning = new Provisioning(board, outside, fleet, term);
        this.consolidation = new Consolidation(board, placement, outside.now(), c -> stop(c, 0));
        this.users = new Users(board, outside, state, ledger, ended, new Users.Lead() {
            @Override
            public boolean serving() {
                return Leader.this.serving();
            }

            @Override
            public long number() {
                return term * ATTEMPTS_PER_TERM + ++numbers;
            }

            @Override
            public void changed() {
                Leader.this.changed();
            }

            @Override
            public void cancel(Job job) {
                Leader.this.cancel(job);
            }
        });
        this.roundMs = Math.round(settings.workers().reportS() * 1250) + 1000;
        load();
    }

    void close() {
        closed = true;
        ledger.close();
        fleet.close();
        provisioning.close();
        silences.close();
        users.close();
    }

    boolean active() {
        return active;
    }

    /** The machine types are known from now on, or have changed. */
    void types(List<MachineType> types) {
        board.types = types;
        for (Machine m : board.machines.values()) {
            m.type = board.type(m.typeName);
            board.rooms.update(m);
        }
        changed();
    }

    // ---- taking over

    private void load() {
        read(List.of(Job.PREFIX, Ledger.EVENTS, OLD_PARTS), new ArrayList<>());
    }

    /** Reads one prefix after the other; starts again when a read fails. */
    private void read(List<String> prefixes, List<List<StateClient.Row>> done) {
        if (prefixes.isEmpty()) {
            loadOptions(done);
            return;
        }
        state.scan(prefixes.get(0), true, read -> {
            if (closed) {
                return;
            }
            if (read.rows() == null) {
                outside.after(300, this::load);
            } else {
                if (prefixes.get(0).equals(Job.PREFIX)) {
                    cancelledBefore(read.rows());
                }
                done.add(read.rows());
                read(prefixes.subList(1, prefixes.size()), done);
            }
        });
    }

    /** From here on leases may be renewed, long before all records have been read: what is to be stopped is known. */
    private void cancelledBefore(List<StateClient.Row> jobs) {
        for (StateClient.Row row : jobs) {
            if (row.value().path("cancelled").asBoolean()) {
                leadership.cancellations().add(row.key().substring(Job.PREFIX.length()));
            }
        }
        cancellationsRead = true;
    }

    private void loadOptions(List<List<StateClient.Row>> rows) {
        state.get(Admin.KEY, (status, body) -> {
            if (closed) {
                return;
            }
            if (status == 200) {
                takeOptions(Options.read(body.path("v")));
            } else if (status != 404) {
                outside.after(300, this::load);
                return;
            }
            long revision = status == 200 ? body.path("entry_rev").asLong() : 0;
            admin = new Admin(board, placement, ledger, revision, this::describe, this::takeOptions);
            build(rows.get(0), rows.get(1), rows.get(2));
        });
    }

    private void takeOptions(Options options) {
        board.options = options;
        outside.logLevel(options.text(Options.LOG_LEVEL));
    }

    private void build(List<StateClient.Row> rows, List<StateClient.Row> records, List<StateClient.Row> parts) {
        List<Job> jobs = new ArrayList<>();
        for (StateClient.Row row : rows) {
            try {
                jobs.add(Job.read(row.value(), row.revision()));
            } catch (JobSpec.Malformed e) {
                // its user was told that it is accepted, so nobody may hear that it is unknown
                LOG.error("the record {} can't be read, its job can't run: {}", row.key(), e.getMessage());
                board.unreadable.add(row.key().substring(Job.PREFIX.length()));
            }
        }
        jobs.sort(Comparator.comparingLong(j -> j.order));
        jobs.forEach(job -> board.jobs.put(job.spec.id(), job));
        TaskEvents.Reader reader = new TaskEvents.Reader(board.jobs);
        long number = 0;
        for (StateClient.Row row : parts) {
            String[] key = row.key().split("/");
            Job job = key.length == 3 ? board.jobs.get(key[1]) : null;
            // what is left of a job that ended is deleted like the others, with nothing kept of it
            List<Ledger.Event> events =
                    job == null ? List.of() : reader.readChunk(job, Integer.parseInt(key[2]), row.value(), --number);
            ledger.restore(row.key(), row.revision(), number, events);
        }
        records.sort(Comparator.comparingLong(row -> row.value().path("n").asLong()));
        for (StateClient.Row row : records) {
            long n = row.value().path("n").asLong();
            ledger.restore(row.key(), row.revision(), n, reader.read(row.value(), n));
        }
        List<Claim> claims = reader.claims();
        claims.forEach(board::add);
        // the version before stored that one task of a gang was done, and might have started the others again
        board.jobs.values().stream()
                .filter(j -> j.spec.gang() && j.doneCount() > 0)
                .forEach(j -> finishGang(j, null));
        board.jobs.values().forEach(this::stopBrokenAttempt);
        silences.takeOver(reader.silences());
        active = true;
        activeAt = outside.now();
        LOG.info("term {}: {} live jobs, {} tasks may be on machines", term, board.jobs.size(), claims.size());
        for (Job job : List.copyOf(board.jobs.values())) {
            if (job.cancelled) {
                cancelDurable(job);
            } else if (job.unfinished() == 0) {
                end(job, "done");
            }
        }
        leadership.cancellations().allRead();
        provisioning.list();
        tick();
    }

    /**
     * An attempt of a gang that was read with fewer claims than tasks was not started, or has lost a task; and an older
     * version may have left claims of different attempts, whose tasks would wait for each other in vain. Neither can be
     * completed, nor can its tasks save, so they stop at once and the gang starts again whole.
     */
    private void stopBrokenAttempt(Job job) {
        if (job.spec.gang() && !job.claims.isEmpty() && !job.claimsFormOneAttempt()) {
            List.copyOf(job.claims.values()).forEach(claim -> board.stop(claim, 0, outside.now()));
        }
    }

    private void tick() {
        if (closed) {
            return;
        }
        outside.after(Math.round(1000 * board.options.number(Options.PASS_INTERVAL_S)), this::tick);
        fleet.failures().checkLeases();
        fleet.commands().probe();
        users.giveUpWaiting();
        checkSockets();
        silences.giveUp();
        if (leadership.sure()) {
            provisioning.list();
            provisioning.returnMachines(settled());
            pass(true);
            endOfTurn();
        }
    }

    private void checkSockets() {
        if (!socketsAreFew && settings.sockets().full(board.machines.size())) {
            socketsAreFew = true;
            LOG.warn(
                    "{} machines: max_sockets ({}) leaves {} connections for them and all users, so they are not kept",
                    board.machines.size(),
                    settings.maxSockets(),
                    settings.sockets().incoming());
        }
    }

    /** After one report round, what has not reported is taken for absent where that only costs a chance. */
    private boolean settled() {
        return outside.now() - activeAt > roundMs;
    }

    // ---- passes

    @Override
    public void changed() {
        if (!passAsked && active) {
            passAsked = true;
            outside.after(Math.max(COALESCE_MS, PASS_REST * passTookMs), () -> {
                passAsked = false;
                if (!closed && leadership.sure()) {
                    pass(false);
                    endOfTurn();
                }
            });
        }
    }

    private void pass(boolean regular) {
        long from = outside.now();
        passOnce(regular);
        passTookMs = outside.now() - from;
        if (placement.cutShort()) {
            changed();
        }
    }

    private void passOnce(boolean regular) {
        if (board.types.isEmpty()
                || ledger.backlog() > BACKLOG_TRANSACTIONS * settings.state().txnOps()) {
            return;
        }
        long now = outside.now();
        boolean preempts = settled() && board.options.flag(Options.PREEMPTION);
        List<Job> waiting = placement.pass(now, outside.timeOfDay(), preempts, this::start);
        board.reservations.clear();
        if (preempts) {
            makeRoom(waiting, now);
        }
        waiting.removeIf(job -> placement.keptBack(job, now)); // nothing is rented for it, and it is no lack of room
        if (settled() && !waiting.isEmpty()) {
            if (regular) {
                provisioning.rent(waiting);
            }
        }
        if (regular && settled()) {
            consolidation.step(waiting, now);
        }
    }

    private void makeRoom(List<Job> waiting, long now) {
        long urgentAfter = Math.round(1000 * board.types.get(0).bootS());
        for (Preemption.Stop stop : preemption.decide(waiting, now, urgentAfter, outside.timeOfDay())) {
            LOG.debug(
                    "stopping {} to make room for {}",
                    stop.victim().name,
                    stop.forJob().spec.id());
            stop(stop.victim(), stop.graceS());
        }
    }

    private void start(Job job, List<Machine> machines) {
        long now = outside.now();
        int index = job.nextWaiting(now);
        // The tasks of a gang find each other by their attempt, so it is the same for all of them.
        long attempt = term * ATTEMPTS_PER_TERM + ++numbers;
        boolean overdue = placement.overdue(job, outside.timeOfDay());
        board.reservations.remove(job);
        GangAttempt gangAttempt = null;
        if (job.spec.gang()) {
            gangAttempt = new GangAttempt(machines.size());
            gangCounters.attempted();
        }
        for (Machine machine : machines) {
            Claim claim = new Claim(job, index, attempt, machine.name, machine.session, now);
            claim.overdue = overdue;
            claim.gangAttempt = gangAttempt;
            board.add(claim);
            ledger.log(TaskEvents.claimed(claim), () -> claimDurable(claim, machine));
            index = job.taken.nextClearBit(index);
        }
    }

    private void claimDurable(Claim claim, Machine machine) {
        claim.durable = true;
        if (claim.gangAttempt != null) {
            if (claim.gangAttempt.claimDurable()) {
                startWhole(claim.job, claim.gangAttempt);
            }
        } else if (mayStart(claim)) {
            fleet.commands().sendSoon(machine);
        }
    }

    private void startWhole(Job job, GangAttempt attempt) {
        for (Claim claim : job.claims.values()) {
            if (claim.gangAttempt == attempt && mayStart(claim)) {
                fleet.commands().sendSoon(board.machine(claim.machine));
            }
        }
    }

    private static boolean mayStart(Claim claim) {
        return claim.job.claims.get(claim.index) == claim && !claim.stopping() && !claim.job.cancelled;
    }

    /**
     * Stops a claimed task. A gang is stopped whole: its tasks can save only together, and one that is left alone loses
     * what it did.
     */
    private void stop(Claim claim, double graceS) {
        if (claim.job.spec.gang()) {
            double together = graceS > 0 && !allHear(claim.job) ? 0 : graceS;
            stopOne(claim, together);
            stopOthers(claim, together);
        } else {
            stopOne(claim, graceS);
        }
    }

    /**
     * Whether all tasks of a gang can be expected to hear a stop in time. If one does not, the others can't save;
     * told to, they would only wait for it, and what they did since their last checkpoint is lost all the same.
     */
    private boolean allHear(Job gang) {
        for (Claim claim : gang.claims.values()) {
            if (!fleet.failures().hears(board.machine(claim.machine))) {
                LOG.info("gang {} is stopped without saving: {} may not hear it", gang.spec.id(), claim.machine);
                return false;
            }
        }
        return true;
    }

    /** One that its machine has never heard of is simply not there. */
    private void stopOne(Claim claim, double graceS) {
        if (claim.job.claims.get(claim.index) != claim) {
            return; // ended with its gang; counted out twice it would let its team beyond its limit
        }
        if (claim.runsSent == 0) {
            LOG.debug("{} is not on {}: it was never sent", claim.name, claim.machine);
            settle(claim, false, null);
            return;
        }
        board.stop(claim, graceS, outside.now());
        fleet.commands().sendSoon(board.machine(claim.machine));
    }

    // ---- what workers tell

    @Override
    public void exited(Machine machine, Claim claim, Report.TaskState t) {
        Job job = claim.job;
        if (job.claims.get(claim.index) != claim) {
            return; // ended with its gang
        }
        long now = outside.now();
        boolean done = t.why().equals("done") && !job.spec.service();
        List<Claim> others = done && job.spec.gang() ? finishGang(job, claim) : List.of();
        machine.settling.add(t.key());
        job.begun |= done || t.why().equals("error");
        if (claim.orderedAt > 0 && claim.runningAt > 0) {
            LOG.debug(
                    "{} of {} exited on {}: {}, ordered {} ms after its job, running {} ms later, for {} ms",
                    claim.name,
                    job.spec.jobClass(),
                    machine.name,
                    t.why(),
                    claim.orderedAt - now + outside.timeOfDay() - job.acceptedAt,
                    claim.runningAt - claim.orderedAt,
                    now - claim.runningAt);
        }
        if (done) {
            if (claim.orderedAt > 0 && claim.runningAt > 0) {
                machine.finished(
                        (now - claim.runningAt) / 1000.0,
                        (claim.runningAt - claim.orderedAt) / 1000.0,
                        SLOWDOWN_THRESHOLD_S);
            }
            job.successes++;
            job.retries.remove(claim.index);
            machine.failures.clear();
        } else {
            failed(machine, claim, t, now);
        }
        settle(claim, done, () -> {
            machine.settling.remove(t.key());
            others.forEach(other -> {
                Machine there = board.machines.get(other.machine);
                if (there != null) {
                    there.settling.remove(other.key);
                }
            });
        });
    }

    private void failed(Machine machine, Claim claim, Report.TaskState t, long now) {
        Job job = claim.job;
        switch (t.why()) {
            case "error" -> {
                Job.Retry retry = job.retries.computeIfAbsent(claim.index, i -> new Job.Retry());
                retry.notBefore = now + Math.min(60_000, 1000L << Math.min(6, retry.failures++));
                job.failedOn.add(machine.name);
                machine.failures.merge(job.spec.id(), 1, Integer::sum);
                judge(machine);
            }
            case "full", "busy" -> machine.placeAfter = now + roundMs;
            case "unknown" -> {
                Job.Retry retry = job.retries.computeIfAbsent(claim.index, i -> new Job.Retry());
                retry.notBefore = now + Math.min(60_000, 500L << Math.min(7, retry.failures++));
            }
            default -> {}
        }
        if (job.spec.gang()) {
            gangCounters.exited(claim, t);
        }
        stopGang(claim, t.saved());
    }

    /**
     * One task of a gang that does not run stops and requeues them all. If it had saved, so do the others. Else none of
     * them can: told to save they would only wait for the missing one, and hold their machines until they give up.
     */
    private void stopGang(Claim claim, boolean saved) {
        if (claim.job.spec.gang()) {
            stopOthers(claim, saved ? claim.job.spec.saveS() : 0);
        }
    }

    private void stopOthers(Claim claim, double graceS) {
        for (Claim other : List.copyOf(claim.job.claims.values())) {
            if (other != claim && (!other.stopping() || graceS < other.stopGraceS)) {
                stopOne(other, graceS);
            }
        }
    }

    /**
     * The tasks of a gang complete together: when one is done, all are, also one whose machine is gone before it tells.
     * Their end is stored at once, in the record of the job's end, so that no leader starts a part of the gang again.
     * Returns the claims that have ended so, which their machines may not clear before that is durable.
     */
    private List<Claim> finishGang(Job job, Claim first) {
        List<Claim> others = new ArrayList<>(job.claims.values());
        others.remove(first);
        for (Claim claim : others) {
            board.remove(claim, true);
            Machine machine = board.machine(claim.machine);
            machine.settling.add(claim.key);
            machine.idleSince = machine.claims.isEmpty() ? outside.now() : machine.idleSince;
        }
        for (int i = 0; i < job.spec.tasks(); i++) {
            if (first == null || i != first.index) {
                job.finish(i);
            }
        }
        return others;
    }

    @Override
    public void gangRuns(Job job) {
        gangCounters.started();
        LOG.debug("all {} tasks of {} of {} run", job.spec.tasks(), job.spec.id(), job.spec.jobClass());
    }

    @Override
    public void stopWhole(Claim claim, double graceS) {
        stop(claim, graceS);
    }

    /**
     * A machine is faulty when tasks of two jobs failed on it since one succeeded, or one job failed on it again and
     * again that succeeds elsewhere. A job that fails everywhere speaks against no machine.
     */
    private void judge(Machine machine) {
        int weight = 0;
        for (var failure : machine.failures.entrySet()) {
            Job job = board.jobs.get(failure.getKey());
            if (job == null || job.failedOn.size() < 3) {
                weight += job != null && job.successes > 0 ? Math.min(2, failure.getValue()) : 1;
            }
        }
        if (weight >= 2 && !machine.faulty) {
            LOG.info("machine {} fails its tasks and is taken out of use", machine.name);
            machine.faulty = true;
            for (Claim claim : List.copyOf(machine.claims.values())) {
                stop(claim, claim.job.spec.saveS());
            }
        }
    }

    @Override
    public void gone(Claim claim, String proof) {
        if (claim.job.claims.get(claim.index) == claim) {
            LOG.debug("{} is not on {} any more: {}", claim.name, claim.machine, proof);
            settle(claim, false, null);
            if (claim.job.spec.gang()) {
                gangCounters.gone(claim);
            }
            stopGang(claim, false);
        }
    }

    private void settle(Claim claim, boolean done, Runnable onDurable) {
        Job job = claim.job;
        Machine machine = board.machine(claim.machine);
        board.remove(claim, done);
        if (machine.claims.isEmpty()) {
            machine.idleSince = outside.now();
        }
        if (job.unfinished() == 0 && !job.cancelled) {
            end(job, "done", onDurable);
        } else if (job.cancelled && job.claims.isEmpty()) {
            end(job, "cancelled", onDurable);
        } else {
            ledger.log(done ? TaskEvents.done(job, claim.index) : TaskEvents.freed(claim), onDurable);
        }
        changed();
    }

    // ---- ends of jobs

    private void stopAll(Job job) {
        for (Claim claim : List.copyOf(job.claims.values())) {
            stopOne(claim, 0);
        }
    }

    private void end(Job job, String how) {
        end(job, how, null);
    }

    /** Moves a job among the ended ones; what else is stored of it goes afterwards. */
    private void end(Job job, String how, Runnable onDurable) {
        if (job.ending) {
            return;
        }
        job.ending = true;
        EndedJobs.Ended record = new EndedJobs.Ended(how, job.doneCount());
        Ledger.Entry entry = new Ledger.Entry(Job.endedKey(job.spec.id()), 0, record::write);
        ledger.move(entry, job.record, () -> {
            job.over = true;
            leadership.cancellations().over(job.spec.id());
            board.jobs.remove(job.spec.id());
            ended.put(job.spec.id(), record);
            users.answer(job, Users.ok(200, record.answer(job.spec.id())));
            if (onDurable != null) {
                onDurable.run();
            }
        });
    }

    // ---- workers and peers

    /** Answers a report; null: not with 200. */
    void report(Report r, Consumer<byte[]> reply) {
        if (active) {
            fleet.report(r, reply);
        } else {
            boolean known = cancellationsRead || leadership.cancellations().knowsWhatWasBefore();
            reply.accept(known && leadership.mayRenew() ? fleet.hold(r) : null);
        }
    }

    /** The last that was heard from a machine; null: nothing. */
    Report lastReport(String name) {
        Machine m = board.machines.get(name);
        return m == null ? null : m.last;
    }

    /** Everything that piled up in a turn goes out together. */
    void endOfTurn() {
        if (closed) {
            return;
        }
        if (leadership.sure()) {
            ledger.flush();
        }
        fleet.commands().send();
    }

    // ---- users

    private boolean serving() {
        return active && !closed && leadership.sure();
    }

    /** Dealings with users; what is asked before the claims have been read is refused there. */
    Users users() {
        return users;
    }

    void admin(String method, String path, String from, byte[] body, Consumer<PeerRecord.Answer> reply) {
        if (!serving()) {
            reply.accept(Admin.unavailable());
        } else {
            admin.request(method, path, from, body, outside.now(), outside.timeOfDay(), reply);
        }
    }

    private ObjectNode describe() {
        return Wire.map()
                .put("leader", settings.node())
                .put("term", term)
                .put("active_s", (outside.now() - activeAt) / 1000.0)
                .put("live_jobs", board.jobs.size())
                .put("machines", board.machines.size())
                .put("changes_waiting", ledger.backlog())
                .set("gangs", gangCounters.describe());
    }

    private void cancel(Job job) {
        job.cancelled = true;
        for (Claim claim : List.copyOf(job.claims.values())) {
            if (claim.runsSent == 0) {
                board.remove(claim, false); // no machine has heard of it
                ledger.log(TaskEvents.freed(claim), null);
            }
        }
        if (job.claims.isEmpty()) {
            end(job, "cancelled");
            return;
        }
        ledger.put(job.record, () -> cancelDurable(job));
    }

    /** Its user hears of it when enough controllers know: whoever renews leases may have to stop its tasks. */
    private void cancelDurable(Job job) {
        job.cancelDurable = true;
        stopAll(job);
        if (job.claims.isEmpty()) {
            end(job, "cancelled");
            return;
        }
        leadership.tellCancelled(job.spec.id(), () -> {
            job.cancelTold = true;
            users.answer(job, users.state(job, 200));
        });
    }
}
