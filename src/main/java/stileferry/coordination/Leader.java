package stileferry.coordination;

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
import stileferry.leadership.FencingTokens;
import stileferry.leadership.LeaderElection;
import stileferry.leadership.TermSequence;
import stileferry.lifecycle.TaskLifecycle;
import stileferry.links.LinkHealth;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.MachineType;
import stileferry.protocol.OperatorSettings;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;
import stileferry.requests.AdministrationHandler;
import stileferry.requests.AdministrationRequest;
import stileferry.requests.AdministrationViews;
import stileferry.requests.JobRequestHandler;
import stileferry.requests.OperatorSettingsHandler;
import stileferry.requests.Responses;
import stileferry.requests.UnavailableReason;
import stileferry.scheduling.Placement;
import stileferry.scheduling.SchedulingPass;
import stileferry.storage.CommitQueue;

/**
 * The leader during one term: recovers the durable state, then serves users and workers and schedules jobs until it is
 * closed.
 */
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
    private final AnswerRight answerRight;
    private final long heartbeatRoundMs;

    /** Null until recovery is complete. */
    private AdministrationHandler administration;

    private Phase phase = Phase.READING_JOBS;

    private boolean closed;
    private long activeAt;

    /** Progress of recovery. */
    private enum Phase {
        /** Job records are being read. */
        READING_JOBS,
        /** All cancellations before this term are known, so workers' leases may be renewed; the rest is being read. */
        READING_TASKS,
        /** Recovery is complete. */
        ACTIVE
    }

    /**
     * Begins a term and starts to read the durable state.
     *
     * @param leaderRevision the revision of the leader key, which fences all writes of the term
     */
    Leader(ControllerContext controller, List<MachineType> machineTypes, FencingTokens tokens, long leaderRevision) {
        this.settings = controller.settings();
        this.environment = controller.environment();
        this.election = controller.election();
        this.links = controller.links();
        this.term = tokens.term();
        this.sequence = new TermSequence(tokens.first());
        this.answerRight = new AnswerRight(controller, term, this::active);
        TermComponents components = TermComponents.create(
                controller,
                machineTypes,
                new TermComponents.Term(tokens, leaderRevision, sequence),
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
                term,
                election.admissionsCountedSince() > 0);
        recovery.load();
        new ReadinessCheck(controller, term, () -> closed || active()).start();
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
                new SchedulingCallbacks());
    }

    /** Ends the term and rejects the requests that have not received a response. */
    void close() {
        closed = true;
        answerRight.endTerm();
        recovery.close();
        commitQueue.close();
        heartbeats.close();
        autoscaler.close();
        heartbeatJournal.close();
        jobRequests.close();
    }

    /** Returns whether recovery is complete. */
    boolean active() {
        return phase == Phase.ACTIVE;
    }

    /** Called when the machine types have been read for the first time or again. */
    void setMachineTypes(List<MachineType> types) {
        cluster.setMachineTypes(types);
        for (Machine machine : cluster.machines().values()) {
            machine.setType(cluster.machineType(machine.typeName()));
            cluster.freeCapacity().update(machine);
        }
        requestPass();
    }

    // ---- recovery

    /** Called when the whole durable state has been read; starts regular work. */
    private void activate(StateRecovery.Recovered recovered) {
        activeAt = environment.now();
        LeaderView view =
                new LeaderView(settings, environment, term, activeAt, cluster, commitQueue, jobRequests, taskLifecycle);
        administration = new AdministrationHandler(
                new OperatorSettingsHandler(
                        cluster, commitQueue, recovered.operatorSettingsRevision(), this::setOperatorSettings),
                new AdministrationViews(cluster, placement, environment),
                view::describe);
        taskLifecycle.repairGangs();
        heartbeatJournal.restore(recovered.lastHeartbeats());
        cluster.machines().values().forEach(machine -> links.workerExpected(machine.name(), machine.address()));
        if (election.admissionsCountedSince() > 0) {
            admissionCounting.start(recovered.admissionShards(), election.admissionsCountedSince(), commitQueue);
        }
        phase = Phase.ACTIVE;
        LOG.info(
                "leader ready: term={} jobs={} assignments={} took_ms={} attempts={} heap_used_mb={}",
                term,
                cluster.jobs().size(),
                recovered.assignments(),
                recovered.tookMs(),
                recovered.attempts(),
                environment.usedHeapMb());
        taskLifecycle.jobCompletion().resumeAfterFailover();
        election.cancellations().allCancelledJobsRead();
        autoscaler.refreshInventory();
        tick();
    }

    private void setOperatorSettings(OperatorSettings operatorSettings) {
        cluster.setOperatorSettings(operatorSettings);
        environment.setLogLevel(operatorSettings.text(OperatorSettings.LOG_LEVEL));
    }

    // ---- periodic work

    private void tick() {
        if (closed) {
            return;
        }
        double intervalS = cluster.operatorSettings().number(OperatorSettings.PASS_INTERVAL_S);
        environment.schedule(Math.round(MS_PER_S * intervalS), this::tick);
        heartbeats.failureDetector().expireLeases();
        heartbeats.commandDispatcher().queueProbes();
        jobRequests.expireOverdueReplies();
        connectionBudgetWarning.check(cluster.machines().size());
        heartbeatJournal.refuseExpired();
        if (election.leaseHeld()) {
            election.observeFleetSize(cluster.machines().size());
            autoscaler.refreshInventory();
            autoscaler.scaleIn(allWorkersHeard());
            schedulingLoop.runRegular(admissionCounting.started() || election.leadsLargeFleet());
            flush();
        }
    }

    /**
     * Returns whether this leader has been active for longer than one round of heartbeats. A worker that has not sent
     * one by then is treated as absent in decisions where a mistake only means a missed opportunity.
     */
    private boolean allWorkersHeard() {
        return environment.now() - activeAt > heartbeatRoundMs;
    }

    private void requestPass() {
        if (active()) {
            schedulingLoop.requestPass();
        }
    }

    /**
     * Sends all queued changes and commands; called at the end of an event loop turn, so that they are sent together.
     */
    void flush() {
        if (closed) {
            return;
        }
        if (active() && election.leaseHeld() && !links.handingOver()) { // while it recovers, records are missing
            commitQueue.flush();
        }
        heartbeats.commandDispatcher().sendQueued();
    }

    // ---- workers and other controllers

    /** Responds to a heartbeat; the reply is null if this leader may not respond with status 200. */
    void receive(Heartbeat heartbeat, Consumer<byte[]> reply) {
        if (active()) {
            heartbeats.receive(heartbeat, reply);
            return;
        }
        boolean cancellationsKnown =
                phase == Phase.READING_TASKS || election.cancellations().knowsEarlierCancellations();
        boolean renews = cancellationsKnown && election.mayRenewWorkerLeases();
        reply.accept(renews ? heartbeats.renewLeaseBeforeRecovery(heartbeat) : null);
    }

    /** Returns the last heartbeat received from a machine in this term, or null if there is none. */
    Heartbeat lastHeartbeat(String machineName) {
        Machine machine = cluster.machines().get(machineName);
        return machine == null ? null : machine.agent().lastHeartbeat();
    }

    /** Returns the number of transactions that were sent and whose outcome is not known. */
    int transactionsInFlight() {
        return commitQueue.inFlight();
    }

    // ---- users and operators

    /** Returns whether users' jobs may be accepted and cancelled now. */
    boolean mayAcceptChanges() {
        return answerRight.whyNotAcceptChanges() == null;
    }

    /**
     * Returns whether a job is known: accepted or being accepted, stored but unreadable, or completed and still in the
     * cache of completed jobs.
     */
    boolean knowsJob(String id) {
        return cluster.jobs().containsKey(id)
                || jobRequests.hasCachedCompletion(id)
                || cluster.unreadableJobs().contains(id);
    }

    /** Returns the handler of users' requests about jobs, which rejects them until recovery is complete. */
    JobRequestHandler jobRequests() {
        return jobRequests;
    }

    /**
     * Responds to an operator's request, or rejects it while it is not certain that this leader still leads, or while
     * it is not yet active.
     */
    void administer(AdministrationRequest request, Consumer<PeerMessage.Response> reply) {
        if (answerRight.whyNotAnswer() != null) {
            reply.accept(Responses.noLeader());
        } else {
            administration.handle(request, reply);
        }
    }

    /** Callbacks for the handler of users' requests about jobs. */
    private final class JobRequestCallbacks implements JobRequestHandler.LeaderCallbacks {
        @Override
        public UnavailableReason whyNotAnswer() {
            return answerRight.whyNotAnswer();
        }

        @Override
        public UnavailableReason whyNotAcceptChanges() {
            return answerRight.whyNotAcceptChanges();
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
        public void answerLeft() {
            answerRight.answerLeft();
        }

        @Override
        public void cancel(Job job) {
            taskLifecycle.jobCompletion().cancel(job);
        }
    }

    /** Callbacks for the scheduling loop. */
    private final class SchedulingCallbacks implements SchedulingLoop.Callbacks {
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
            flush();
        }
    }

    /** Receives the recovered state. */
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
        public void machinesKnown(int machines) {
            election.observeFleetSize(machines);
        }

        @Override
        public void recovered(StateRecovery.Recovered recovered) {
            activate(recovered);
        }
    }
}
