package stileferry.coordination;

import java.util.List;
import stileferry.autoscaling.Autoscaler;
import stileferry.cluster.ClusterState;
import stileferry.heartbeat.HeartbeatHandler;
import stileferry.heartbeat.LastHeartbeatJournal;
import stileferry.leadership.FencingTokens;
import stileferry.leadership.LeaderElection;
import stileferry.leadership.TermSequence;
import stileferry.lifecycle.JobCompletion;
import stileferry.lifecycle.TaskLifecycle;
import stileferry.links.LinkHealth;
import stileferry.protocol.Environment;
import stileferry.protocol.MachineType;
import stileferry.requests.JobRequestHandler;
import stileferry.scheduling.Placement;
import stileferry.storage.CommitQueue;

/** The leader's components for one term; they are created with the term and discarded with it. */
record TermComponents(
        ClusterState cluster,
        CommitQueue commitQueue,
        LastHeartbeatJournal heartbeatJournal,
        JobRequestHandler jobRequests,
        TaskLifecycle taskLifecycle,
        Placement placement,
        Autoscaler autoscaler) {

    /** The fencing tokens of a term, the revision of its leader key, and the sequence that issues numbers within it. */
    record Term(FencingTokens tokens, long leaderRevision, TermSequence sequence) {}

    /**
     * Creates the components of a term.
     *
     * @param requestPass called when something has changed that a scheduling pass may be able to use
     */
    static TermComponents create(
            ControllerContext controller,
            List<MachineType> machineTypes,
            Term term,
            JobRequestHandler.LeaderCallbacks callbacks,
            Runnable requestPass) {
        Environment environment = controller.environment();
        LeaderElection election = controller.election();
        LinkHealth links = controller.links();
        CommitQueue commitQueue = new CommitQueue(
                environment,
                controller.store(),
                LeaderElection.LEADER_KEY,
                term.leaderRevision(),
                term.tokens().first(),
                election::resign);
        ClusterState cluster = new ClusterState(controller.settings(), links, controller.invariants());
        cluster.setMachineTypes(machineTypes);
        LastHeartbeatJournal journal =
                new LastHeartbeatJournal(cluster, environment, commitQueue, election, term.tokens());
        JobRequestHandler jobRequests = jobRequests(controller, cluster, commitQueue, callbacks);
        TaskLifecycle taskLifecycle = new TaskLifecycle(
                cluster,
                environment,
                commitQueue,
                term.sequence(),
                events -> new HeartbeatHandler(
                        cluster, environment, election, term.tokens(), events, journal, controller.eventLoopLag()),
                lifecycle -> new JobCompletion(
                        cluster,
                        commitQueue,
                        controller.completedJobs(),
                        election,
                        jobRequests,
                        lifecycle::stopCancelled),
                requestPass);
        Placement placement = new Placement(cluster);
        Autoscaler autoscaler = new Autoscaler(
                cluster,
                environment,
                taskLifecycle.heartbeatHandler(),
                term.tokens().first(),
                links);
        return new TermComponents(cluster, commitQueue, journal, jobRequests, taskLifecycle, placement, autoscaler);
    }

    private static JobRequestHandler jobRequests(
            ControllerContext controller,
            ClusterState cluster,
            CommitQueue commitQueue,
            JobRequestHandler.LeaderCallbacks callbacks) {
        return new JobRequestHandler(
                cluster,
                controller.environment(),
                controller.store(),
                commitQueue,
                controller.completedJobs(),
                callbacks,
                controller.metrics());
    }
}
