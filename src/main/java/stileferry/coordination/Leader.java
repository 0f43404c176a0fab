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
import stileferry.heartbeat.HeartbeatHandler;
import stileferry.heartbeat.LastHeartbeatJournal;
import stileferry.leadership.LeaderElection;
import stileferry.leadership.TermSequence;
import stileferry.lifecycle.TaskLifecycle;
import stileferry.links.LinkHealth;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.MachineType;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.OperatorSettings;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;
import stileferry.requests.AdministrationHandler;
import stileferry.requests.AdministrationRequest;
import stileferry.requests.AdministrationViews;
import stileferry.requests.JobRequestHandler;
import stileferry.requests.OperatorSettingsHandler;
import stileferry.requests.Responses;
import stileferry.scheduling.Placement;
import stileferry.scheduling.SchedulingPass;
import stileferry.storage.CommitQueue;

/** One term of leading: reads what is durable, then serves users, workers and the queue until it is closed. */
final class Leader {
    private static final Logger LOG = LoggerFactory.getLogger("leader");

    private static final double MS_PER_S = 1000;

    private final Settings settings;
    private final Environment environment;
    private final LeaderElection election;
    private final LinkHealth links;
    private final long term;
    private final TermSequence sequence;
    private final ClusterState cluster;
    private final CommitQueue commitQueue;
    private final StateRecovery recovery;
    private final TaskLifecycle taskLifecycle;
    private final HeartbeatHandler heartbeats;
    private final LastHeartbeatJournal heartbeatJournal;
    private final Placement placement;
    private final Autoscaler autoscaler;
    private final SchedulingLoop schedulingLoop;
    private final JobRequestHandler jobRequests;
    private final AdmissionCounting admissionCounting;
    private final ConnectionBudgetWarning connectionBudgetWarning;
    private final long heartbeatRoundMs;

    /** Null until all that is durable has been read. */
    private AdministrationHandler administration;

    private Phase phase = Phase.READING_JOBS;
    private boolean closed;
    private long activeAt;

    /** How far a term has come. */
    private enum Phase {
        READING_JOBS,
        /** All cancellations before this term are known, so workers' leases may be renewed. */
        READING_TASKS,
        /** Everything that is durable has been read. */
        ACTIVE
    }

    /** Begins a term by reading what is durable; {@code leaderRevision} is that of the leader key, for fencing. */
    Leader(ControllerContext controller, List<MachineType> machineTypes, long term, long leaderRevision) {
        this.settings = controller.settings();
        this.environment = controller.environment();
        this.election = controller.election();
        this.links = controller.links();
        this.term = term;
        this.sequence = new TermSequence(term);
        TermComponents components = TermComponents.create(
                controller,
                machineTypes,
                new TermComponents.Term(term, leaderRevision, sequence),
                new JobRequestCallbacks(),
                this::requestPass);
        this.cluster = components.cluster();
        this.commitQueue = components.commitQueue();
        this.heartbeatJournal = components.heartbeatJournal();
        this.jobRequests = components.jobRequests();
        this.taskLifecycle = components.taskLifecycle();
        this.heartbeats = taskLifecycle.heartbeatHandler();
        this.placement = components.placement();
        this.autoscaler = components.autoscaler();
        this.admissionCounting = new AdmissionCounting(settings);
        this.connectionBudgetWarning = new ConnectionBudgetWarning(settings);
        this.schedulingLoop = schedulingLoop(controller);
        this.heartbeatRoundMs = settings.workers().heartbeatRoundMs();
        this.recovery = new StateRecovery(
                environment,
                controller.store(),
                cluster,
                commitQueue,
                new RecoveryListener(),
                election.admissionsCountedSince() > 0);
        recovery.load();
    }

    private SchedulingLoop schedulingLoop(ControllerContext controller) {
        SchedulingPass schedulingPass =
                new SchedulingPass(cluster, environment, links, placement, autoscaler, taskLifecycle);
        return new SchedulingLoop(
                environment,
                controller.eventLoopLag(),
                cluster,
                commitQueue,
                placement,
                schedulingPass,
                new SchedulingHost());
    }

    /** Ends the term; what was not answered is refused. */
    void close() {
        closed = true;
        recovery.close();
        commitQueue.close();
        heartbeats.close();
        autoscaler.close();
        heartbeatJournal.close();
        jobRequests.close();
    }

    /** Whether everything that is durable has been read. */
    boolean active() {
        return phase == Phase.ACTIVE;
    }

    /** The machine types are known from now on, or have changed. */
    void setMachineTypes(List<MachineType> types) {
        cluster.setMachineTypes(types);
        for (Machine machine : cluster.machines().values()) {
            machine.setType(cluster.machineType(machine.typeName()));
            cluster.freeCapacity().update(machine);
        }
        requestPass();
    }

    // ---- failover

    /** Everything that is durable has been read. */
    private void begin(StateRecovery.Recovered recovered) {
        administration = new AdministrationHandler(
                new OperatorSettingsHandler(
                        cluster, commitQueue, recovered.operatorSettingsRevision(), this::setOperatorSettings),
                new AdministrationViews(cluster, placement, environment),
                this::describe);
        completeBrokenGangs();
        heartbeatJournal.restore(recovered.lastHeartbeats());
        cluster.machines().values().forEach(machine -> links.workerExpected(machine.name(), machine.address()));
        if (election.admissionsCountedSince() > 0) {
            admissionCounting.start(recovered.admissionShards(), election.admissionsCountedSince(), commitQueue);
        }
        phase = Phase.ACTIVE;
        activeAt = environment.now();
        LOG.info(
                "leader ready: term={} jobs={} assignments={}",
                term,
                cluster.jobs().size(),
                recovered.assignments());
        taskLifecycle.jobCompletion().resumeAfterFailover();
        election.cancellations().allCancelledJobsRead();
        autoscaler.refreshInventory();
        tick();
    }

    private void completeBrokenGangs() {
        // an older version stored that one task of a gang was done, and might have started the others again
        cluster.jobs().values().stream()
                .filter(job -> job.spec().isGang() && job.completedCount() > 0)
                .forEach(job -> taskLifecycle.completeGang(job, null));
        cluster.jobs().values().forEach(taskLifecycle::stopIncompleteGangAttempt);
    }

    private void setOperatorSettings(OperatorSettings operatorSettings) {
        cluster.setOperatorSettings(operatorSettings);
        environment.setLogLevel(operatorSettings.text(OperatorSettings.LOG_LEVEL));
    }

    // ---- regular work

    private void tick() {
        if (closed) {
            return;
        }
        double intervalS = cluster.operatorSettings().number(OperatorSettings.PASS_INTERVAL_S);
        environment.schedule(Math.round(MS_PER_S * intervalS), this::tick);
        heartbeats.failureDetector().expireLeases();
        heartbeats.commandDispatcher().queueProbes();
        jobRequests.answerOverdue();
        connectionBudgetWarning.check(cluster.machines().size());
        heartbeatJournal.refuseExpired();
        if (election.leaseHeld()) {
            autoscaler.refreshInventory();
            autoscaler.scaleIn(allWorkersHeard());
            schedulingLoop.runRegular(admissionCounting.started());
            endOfTurn();
        }
    }

    /** After one round of heartbeats, what has not sent one is taken for absent where that only costs a chance. */
    private boolean allWorkersHeard() {
        return environment.now() - activeAt > heartbeatRoundMs;
    }

    private void requestPass() {
        if (active()) {
            schedulingLoop.requestPass();
        }
    }

    /** Everything that piled up in a turn goes out together. */
    void endOfTurn() {
        if (closed) {
            return;
        }
        if (election.leaseHeld() && !links.handingOver()) {
            commitQueue.flush();
        }
        heartbeats.commandDispatcher().sendQueued();
    }

    // ---- workers and other controllers

    /** Answers a heartbeat; null: not with 200. */
    void receive(Heartbeat heartbeat, Consumer<byte[]> reply) {
        if (active()) {
            heartbeats.receive(heartbeat, reply);
            return;
        }
        boolean cancellationsKnown =
                phase == Phase.READING_TASKS || election.cancellations().knowsEarlierCancellations();
        boolean renews = cancellationsKnown && election.mayRenewWorkerLeases();
        reply.accept(renews ? heartbeats.renewBeforeRecovery(heartbeat) : null);
    }

    /** The last that was heard from a machine; null: nothing. */
    Heartbeat lastHeartbeat(String machineName) {
        Machine machine = cluster.machines().get(machineName);
        return machine == null ? null : machine.agent().lastHeartbeat();
    }

    /** Transactions that were sent and have no known outcome. */
    int transactionsInFlight() {
        return commitQueue.inFlight();
    }

    // ---- users and operators

    private boolean mayAnswer() {
        return active() && !closed && election.leaseHeld();
    }

    /** Whether jobs may be accepted and cancelled. */
    boolean mayAcceptChanges() {
        return mayAnswer() && links.permitsUserChanges();
    }

    /** Whether a job is known: accepted, about to be, or over and asked for lately. */
    boolean knowsJob(String id) {
        return cluster.jobs().containsKey(id)
                || jobRequests.knowsCompleted(id)
                || cluster.unreadableJobs().contains(id);
    }

    /** Users' requests about jobs; refused there until everything has been read. */
    JobRequestHandler jobRequests() {
        return jobRequests;
    }

    /** Answers an operator's request. */
    void administer(AdministrationRequest request, Consumer<PeerMessage.Response> reply) {
        if (!mayAnswer()) {
            reply.accept(Responses.noLeader());
        } else {
            administration.handle(request, reply);
        }
    }

    private ObjectNode describe() {
        return MessageCodec.map()
                .put("leader", settings.controllerName())
                .put("term", term)
                .put("active_s", (environment.now() - activeAt) / MS_PER_S)
                .put("live_jobs", cluster.jobs().size())
                .put("machines", cluster.machines().size())
                .put("changes_waiting", commitQueue.backlog())
                .set("gangs", taskLifecycle.gangMetrics().describe());
    }

    /** What users' requests call. */
    private final class JobRequestCallbacks implements JobRequestHandler.LeaderCallbacks {
        @Override
        public boolean mayAnswer() {
            return Leader.this.mayAnswer();
        }

        @Override
        public boolean mayAcceptChanges() {
            return Leader.this.mayAcceptChanges();
        }

        @Override
        public boolean bypassesBacklog(byte[] submission) {
            return admissionCounting.bypassesBacklog(submission);
        }

        @Override
        public void beforeFirstWrite(Job job) {
            admissionCounting.count(job);
        }

        @Override
        public long nextSequenceNumber() {
            return sequence.next();
        }

        @Override
        public void jobAccepted() {
            requestPass();
        }

        @Override
        public void cancel(Job job) {
            taskLifecycle.jobCompletion().cancel(job);
        }
    }

    /** What the scheduling loop calls. */
    private final class SchedulingHost implements SchedulingLoop.Host {
        @Override
        public boolean mayRun() {
            return !closed && election.leaseHeld();
        }

        @Override
        public boolean allWorkersHeard() {
            return Leader.this.allWorkersHeard();
        }

        @Override
        public void afterRequestedPass() {
            endOfTurn();
        }
    }

    /** What the recovery of durable state calls. */
    private final class RecoveryListener implements StateRecovery.Listener {
        @Override
        public void cancelledJobs(List<String> jobs) {
            jobs.forEach(election.cancellations()::addCancelled);
            phase = Phase.READING_TASKS;
        }

        @Override
        public void operatorSettings(OperatorSettings operatorSettings) {
            setOperatorSettings(operatorSettings);
        }

        @Override
        public void recovered(StateRecovery.Recovered recovered) {
            begin(recovered);
        }
    }
}
