package stileferry.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.autoscaling.Autoscaler;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.heartbeat.EventLoopLag;
import stileferry.heartbeat.HeartbeatHandler;
import stileferry.heartbeat.LastHeartbeatJournal;
import stileferry.leadership.LeaderElection;
import stileferry.leadership.TermSequence;
import stileferry.lifecycle.CompletedJobCache;
import stileferry.lifecycle.JobCompletion;
import stileferry.lifecycle.TaskLifecycle;
import stileferry.links.LinkHealth;
import stileferry.overload.AdmissionCountShards;
import stileferry.overload.FairAdmission;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.MachineType;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.OperatorSettings;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;
import stileferry.protocol.SubmissionHeader;
import stileferry.requests.AdministrationHandler;
import stileferry.requests.JobRequestHandler;
import stileferry.scheduling.Placement;
import stileferry.scheduling.SchedulingPass;
import stileferry.storage.CommitQueue;
import stileferry.storage.KeyValueStoreClient;

/** One term of leading: reads what is durable, then serves users, workers and the queue until it is closed. */
final class Leader {
    private static final Logger LOG = LoggerFactory.getLogger("leader");

    private static final long COALESCE_MS = 20;

    /** Passes rest for so many times as long as they take, so that reports and renewals get their turns. */
    private static final long PASS_REST = 5;

    /** Transactions that may wait for the state service before no more is taken. */
    private static final int BACKLOG_TRANSACTIONS = 4;

    private final Settings settings;
    private final Environment environment;
    private final LeaderElection leadership;
    private final LinkHealth links;
    private final long term;
    private final CommitQueue ledger;
    private final ClusterState cluster;
    private final StateRecovery loader;
    private final TaskLifecycle tasks;
    private final HeartbeatHandler fleet;
    private final LastHeartbeatJournal silences;
    private final Placement placement;
    private final Autoscaler provisioning;
    private final SchedulingPass scheduling;
    private final EventLoopLag eventLoopLag;
    private final JobRequestHandler users;
    private final long roundMs;

    private AdministrationHandler admin;

    private AdmissionCountShards admissions; // null: this leader does not count
    private boolean active;

    /** The jobs were read, so that all cancellations before this term are known. */
    private boolean cancellationsRead;

    private long activeAt;
    private boolean closed;
    private boolean passAsked;
    private boolean socketsAreFew;
    private long passTookMs;
    private long passedAt;

    Leader(
            Settings settings,
            Environment environment,
            KeyValueStoreClient state,
            LeaderElection leadership,
            CompletedJobCache ended,
            List<MachineType> types,
            long term,
            long leaderRevision,
            EventLoopLag eventLoopLag,
            LinkHealth links) {
        this.links = links;
        this.settings = settings;
        this.environment = environment;
        this.leadership = leadership;
        this.term = term;
        this.ledger = new CommitQueue(
                environment, state, LeaderElection.LEADER_KEY, leaderRevision, term, leadership::resign);
        this.cluster = new ClusterState(settings, links);
        this.cluster.setMachineTypes(types);
        this.silences = new LastHeartbeatJournal(cluster, environment, ledger, leadership, term);
        TermSequence numbers = new TermSequence(term);
        this.users = new JobRequestHandler(cluster, environment, state, ledger, ended, forUsers(numbers));
        this.tasks = new TaskLifecycle(
                cluster,
                environment,
                ledger,
                numbers,
                events -> new HeartbeatHandler(cluster, environment, leadership, term, events, silences, eventLoopLag),
                t -> new JobCompletion(cluster, ledger, ended, leadership, users, t::stopCancelled),
                this::changed);
        this.fleet = tasks.heartbeatHandler();
        this.placement = new Placement(cluster);
        this.provisioning = new Autoscaler(cluster, environment, fleet, term, links);
        this.scheduling = new SchedulingPass(cluster, environment, links, placement, provisioning, tasks);
        this.eventLoopLag = eventLoopLag;
        this.roundMs = settings.workers().heartbeatRoundMs();
        this.loader = new StateRecovery(
                environment, state, cluster, ledger, forLoader(), leadership.admissionsCountedSince() > 0);
        loader.load();
    }

    private JobRequestHandler.LeaderCallbacks forUsers(TermSequence numbers) {
        return new JobRequestHandler.LeaderCallbacks() {
            @Override
            public boolean mayAnswer() {
                return Leader.this.serving();
            }

            @Override
            public boolean mayAcceptChanges() {
                return Leader.this.promising();
            }

            @Override
            public boolean bypassesBacklog(byte[] submission) {
                return admissions != null && SubmissionHeader.isCritical(submission);
            }

            @Override
            public void beforeFirstWrite(Job job) {
                if (admissions != null) {
                    admissions.count(job.entry(), FairAdmission.cell(settings, job.spec()));
                }
            }

            @Override
            public long nextSequenceNumber() {
                return numbers.next();
            }

            @Override
            public void jobAccepted() {
                Leader.this.changed();
            }

            @Override
            public void cancel(Job job) {
                tasks.jobCompletion().cancel(job);
            }
        };
    }

    private StateRecovery.Listener forLoader() {
        return new StateRecovery.Listener() {
            @Override
            public void cancelledBefore(List<String> jobs) {
                Leader.this.cancelledBefore(jobs);
            }

            @Override
            public void options(OperatorSettings options) {
                takeOptions(options);
            }

            @Override
            public void loaded(StateRecovery.Loaded loaded) {
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
        cluster.setMachineTypes(types);
        for (Machine machine : cluster.machines().values()) {
            machine.setType(cluster.machineType(machine.typeName()));
            cluster.freeCapacity().update(machine);
        }
        changed();
    }

    // ---- taking over

    /** From here on leases may be renewed, long before all records have been read: what is to be stopped is known. */
    private void cancelledBefore(List<String> jobs) {
        jobs.forEach(leadership.cancellations()::addCancelled);
        cancellationsRead = true;
    }

    /** Everything that is durable has been read. */
    private void begin(StateRecovery.Loaded loaded) {
        admin = new AdministrationHandler(
                cluster, placement, ledger, loaded.optionsRevision(), this::describe, this::takeOptions);
        // an older version stored that one task of a gang was done, and might have started the others again
        cluster.jobs().values().stream()
                .filter(job -> job.spec().gang() && job.completedCount() > 0)
                .forEach(job -> tasks.completeGang(job, null));
        cluster.jobs().values().forEach(tasks::stopIncompleteGangAttempt);
        silences.restore(loaded.silences());
        cluster.machines().values().forEach(machine -> links.workerExpected(machine.name(), machine.address()));
        if (leadership.admissionsCountedSince() > 0) {
            admissions = new AdmissionCountShards(
                    loaded.admissionShards(),
                    leadership.admissionsCountedSince(),
                    settings.keyValueStore().maxValueKb());
            ledger.setTransactionCounter(admissions);
        }
        active = true;
        activeAt = environment.now();
        LOG.info(
                "term {}: {} live jobs, {} tasks may be on machines",
                term,
                cluster.jobs().size(),
                loaded.claims());
        tasks.jobCompletion().resumeAfterFailover();
        leadership.cancellations().allCancelledJobsRead();
        provisioning.refreshInventory();
        tick();
    }

    private void takeOptions(OperatorSettings options) {
        cluster.setOperatorSettings(options);
        environment.setLogLevel(options.text(OperatorSettings.LOG_LEVEL));
    }

    private void tick() {
        if (closed) {
            return;
        }
        environment.schedule(
                Math.round(1000 * cluster.operatorSettings().number(OperatorSettings.PASS_INTERVAL_S)), this::tick);
        fleet.failureDetector().expireLeases();
        fleet.commandDispatcher().queueProbes();
        users.answerOverdue();
        checkSockets();
        silences.refuseExpired();
        if (leadership.leaseHeld()) {
            provisioning.refreshInventory();
            provisioning.scaleIn(settled());
            if (!rests()) {
                pass(true);
            }
            endOfTurn();
        }
    }

    private void checkSockets() {
        if (!socketsAreFew && settings.socketBudget().full(cluster.machines().size())) {
            socketsAreFew = true;
            LOG.warn(
                    "{} machines: max_sockets ({}) leaves {} connections for them and all users, so they are not kept",
                    cluster.machines().size(),
                    settings.maxSockets(),
                    settings.socketBudget().incoming());
        }
    }

    /** After one report round, what has not reported is taken for absent where that only costs a chance. */
    private boolean settled() {
        return environment.now() - activeAt > roundMs;
    }

    // ---- passes

    private void changed() {
        if (!passAsked && active) {
            passAsked = true;
            environment.schedule(Math.max(COALESCE_MS, PASS_REST * passTookMs), () -> {
                passAsked = false;
                if (!closed && leadership.leaseHeld()) {
                    pass(false);
                    endOfTurn();
                }
            });
        }
    }

    /**
     * Whether a strained leader that divides admissions rests from regular passes too. Found on overloaded days: three
     * quarters of a leader's time went into them, each longer than the second between two, while leases lapsed.
     */
    private boolean rests() {
        return admissions != null && eventLoopLag.saturated() && environment.now() - passedAt < PASS_REST * passTookMs;
    }

    private void pass(boolean regular) {
        long from = environment.now();
        if (ledger.backlog() <= BACKLOG_TRANSACTIONS * settings.keyValueStore().maxTransactionOperations()) {
            scheduling.run(regular, settled());
        }
        passedAt = environment.now();
        passTookMs = passedAt - from;
        if (placement.stoppedEarly()) {
            changed();
        }
    }

    // ---- workers and peers

    /** Answers a report; null: not with 200. */
    void report(Heartbeat heartbeat, Consumer<byte[]> reply) {
        if (active) {
            fleet.receive(heartbeat, reply);
        } else {
            boolean known = cancellationsRead || leadership.cancellations().knowsEarlierCancellations();
            reply.accept(known && leadership.mayRenewWorkerLeases() ? fleet.renewBeforeRecovery(heartbeat) : null);
        }
    }

    /** Transactions that were sent and have no known outcome. */
    int changesInFlight() {
        return ledger.inFlight();
    }

    /** The last that was heard from a machine; null: nothing. */
    Heartbeat lastReport(String name) {
        Machine machine = cluster.machines().get(name);
        return machine == null ? null : machine.agent().lastHeartbeat();
    }

    /** Everything that piled up in a turn goes out together. */
    void endOfTurn() {
        if (closed) {
            return;
        }
        if (leadership.leaseHeld() && !links.handingOver()) {
            ledger.flush();
        }
        fleet.commandDispatcher().sendQueued();
    }

    // ---- users

    private boolean serving() {
        return active && !closed && leadership.leaseHeld();
    }

    /** Whether jobs may be accepted and cancelled. */
    boolean promising() {
        return serving() && links.permitsUserChanges();
    }

    /** Whether a job is known: accepted, about to be, or over and asked for lately. */
    boolean knows(String id) {
        return cluster.jobs().containsKey(id)
                || users.knowsCompleted(id)
                || cluster.unreadableJobs().contains(id);
    }

    /** Dealings with users; what is asked before the claims have been read is refused there. */
    JobRequestHandler users() {
        return users;
    }

    void admin(String method, String path, String from, byte[] body, Consumer<PeerMessage.Response> reply) {
        if (!serving()) {
            reply.accept(AdministrationHandler.unavailable());
        } else {
            admin.request(method, path, from, body, environment.now(), environment.timeOfDay(), reply);
        }
    }

    private ObjectNode describe() {
        return MessageCodec.map()
                .put("leader", settings.controllerName())
                .put("term", term)
                .put("active_s", (environment.now() - activeAt) / 1000.0)
                .put("live_jobs", cluster.jobs().size())
                .put("machines", cluster.machines().size())
                .put("changes_waiting", ledger.backlog())
                .set("gangs", tasks.gangMetrics().describe());
    }
}
