package stileferry.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
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
final class Leader {
    private static final Logger LOG = LoggerFactory.getLogger("leader");

    private static final long COALESCE_MS = 20;

    /** Passes rest for so many times as long as they take, so that reports and renewals get their turns. */
    private static final long PASS_REST = 5;

    /** Transactions that may wait for the state service before no more is taken. */
    private static final int BACKLOG_TRANSACTIONS = 4;

    private final Settings settings;
    private final Outside outside;
    private final Leadership leadership;
    private final long term;
    private final Ledger ledger;
    private final Board board;
    private final StateLoader loader;
    private final TaskLifecycle tasks;
    private final Fleet fleet;
    private final Silences silences;
    private final Placement placement;
    private final Preemption preemption;
    private final Provisioning provisioning;
    private final Consolidation consolidation;
    private final Users users;
    private final long roundMs;

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
        this.leadership = leadership;
        this.term = term;
        this.ledger = new Ledger(outside, state, Leadership.LEADER_KEY, leaderRevision, term, leadership::resign);
        this.board = new Board(settings);
        this.board.types = types;
        this.silences = new Silences(board, outside, ledger, leadership, term);
        TermNumbers numbers = new TermNumbers(term);
        this.users = new Users(board, outside, state, ledger, ended, forUsers(numbers));
        this.tasks = new TaskLifecycle(
                board,
                outside,
                ledger,
                numbers,
                events -> new Fleet(board, outside, leadership, term, events, silences, lateness),
                t -> new JobEnds(board, ledger, ended, leadership, users, t::stopCancelled),
                this::changed);
        this.fleet = tasks.fleet();
        this.placement = new Placement(board);
        this.preemption = new Preemption(board, placement);
        this.provisioning = new Provisioning(board, outside, fleet, term);
        this.consolidation = new Consolidation(board, placement, outside.now(), claim -> tasks.stop(claim, 0));
        this.roundMs = settings.workers().reportRoundMs();
        this.loader = new StateLoader(outside, state, board, ledger, forLoader());
        loader.load();
    }

    private Users.Lead forUsers(TermNumbers numbers) {
        return new Users.Lead() {
            @Override
            public boolean serving() {
                return Leader.this.serving();
            }

            @Override
            public long number() {
                return numbers.next();
            }

            @Override
            public void changed() {
                Leader.this.changed();
            }

            @Override
            public void cancel(Job job) {
                tasks.jobEnds().cancel(job);
            }
        };
    }

    private StateLoader.Listener forLoader() {
        return new StateLoader.Listener() {
            @Override
            public void cancelledBefore(List<String> jobs) {
                Leader.this.cancelledBefore(jobs);
            }

            @Override
            public void options(Options options) {
                takeOptions(options);
            }

            @Override
            public void loaded(StateLoader.Loaded loaded) {
                begin(loaded);
            }
        };
    }

    void close() {
        closed = true;
        loader.close();
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

    /** From here on leases may be renewed, long before all records have been read: what is to be stopped is known. */
    private void cancelledBefore(List<String> jobs) {
        jobs.forEach(leadership.cancellations()::add);
        cancellationsRead = true;
    }

    /** Everything that is durable has been read. */
    private void begin(StateLoader.Loaded loaded) {
        admin = new Admin(board, placement, ledger, loaded.optionsRevision(), this::describe, this::takeOptions);
        // an older version stored that one task of a gang was done, and might have started the others again
        board.jobs.values().stream()
                .filter(job -> job.spec.gang() && job.doneCount() > 0)
                .forEach(job -> tasks.finishGang(job, null));
        board.jobs.values().forEach(tasks::stopBrokenAttempt);
        silences.takeOver(loaded.silences());
        active = true;
        activeAt = outside.now();
        LOG.info("term {}: {} live jobs, {} tasks may be on machines", term, board.jobs.size(), loaded.claims());
        tasks.jobEnds().endWhatIsOver();
        leadership.cancellations().allRead();
        provisioning.list();
        tick();
    }

    private void takeOptions(Options options) {
        board.options = options;
        outside.logLevel(options.text(Options.LOG_LEVEL));
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

    private void changed() {
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

    private void start(Job job, List<Machine> machines) {
        boolean overdue = placement.overdue(job, outside.timeOfDay());
        board.reservations.remove(job);
        tasks.start(job, machines, overdue);
    }

    private void makeRoom(List<Job> waiting, long now) {
        long urgentAfter = Math.round(1000 * board.types.get(0).bootS());
        for (Preemption.Stop stop : preemption.decide(waiting, now, urgentAfter, outside.timeOfDay())) {
            LOG.debug(
                    "stopping {} to make room for {}",
                    stop.victim().name,
                    stop.forJob().spec.id());
            tasks.stop(stop.victim(), stop.graceS());
        }
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
                .set("gangs", tasks.gangCounters().describe());
    }
}
