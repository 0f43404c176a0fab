package stileferry.leadership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.PeerMessage.CancellationKnowledge;
import stileferry.protocol.PeerMessage.TermAnnouncement;
import stileferry.protocol.Settings;
import stileferry.protocol.WorkerCommand;

/**
 * Tracks the cancelled jobs that this process knows and whether that knowledge is complete. A controller that renews
 * workers' leases without holding the leader's lease must know every cancellation that another controller may have
 * confirmed; otherwise tasks of cancelled jobs would run past {@code cancel_s} on the leases that it renews.
 *
 * <p>With n controller processes, a leader confirms a cancellation to the user only when it and n/2 other processes
 * know it. A process is <em>informed</em> once it has received, from a leader that held its lease, every cancellation
 * since the process started. An informed process lacks a confirmed cancellation only if it is not among the processes
 * that acknowledged it, so any n - n/2 informed processes together know all confirmed cancellations (docs/design.md,
 * "Cancellations"). Only processes that report this state are counted.
 */
public final class CancellationQuorum {
    /**
     * After it was last reported, a cancelled job is kept for this multiple of the time for which its tasks can still
     * run.
     */
    private static final int RETENTION_FACTOR = 2;

    /** Marks a point in time that has not been reached. */
    static final long NEVER = -1;

    private final Environment environment;
    private final long processId;
    private final long retentionMs;

    /** Maps each cancelled job to the time at which it was last reported to this process, most recent last. */
    private final Map<String, Long> cancelledJobs = new LinkedHashMap<>();

    private final PeerCancellationState[] peers;
    private boolean informed;

    // The fields below belong to the term in which this controller leads.

    /** By job: cancellations that are durable while tasks of the job may still be on machines. */
    private final Map<String, CancellationConfirmation> confirmations = new LinkedHashMap<>();

    private boolean allCancelledJobsRead;

    CancellationQuorum(Environment environment, Settings settings) {
        this.environment = environment;
        this.processId = 1 + environment.random().nextLong(Long.MAX_VALUE - 1);
        this.peers = new PeerCancellationState[settings.peers().size()];
        Arrays.setAll(peers, index -> new PeerCancellationState());
        double maxTaskRemainingS =
                settings.workers().cancelDeadlineS() + settings.workers().leaseS();
        this.retentionMs = Math.round(1000 * RETENTION_FACTOR * maxTaskRemainingS);
    }

    /** Returns how many processes must be informed so that together they know every confirmed cancellation. */
    static int informedQuorum(int processes) {
        return processes - processes / 2;
    }

    // ---- known cancellations

    /** Records that a job's cancellation is durable. */
    public void addCancelled(String jobId) {
        cancelledJobs.remove(jobId);
        cancelledJobs.put(jobId, environment.now());
    }

    /** Returns kill commands for the tasks in a heartbeat that belong to cancelled jobs and have not exited. */
    public List<WorkerCommand> killCommandsFor(Heartbeat heartbeat) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            if (status.phase() != Heartbeat.TaskPhase.EXITED && belongsToCancelledJob(status.taskId())) {
                commands.add(new WorkerCommand(WorkerCommand.Kind.KILL, status.taskId(), status.attempt(), 0));
            }
        }
        return commands;
    }

    private boolean belongsToCancelledJob(String taskId) {
        int slash = taskId.indexOf('/');
        return slash > 0 && cancelledJobs.containsKey(taskId.substring(0, slash));
    }

    /**
     * Returns whether this process and the peers that replied in this controller's term together know every
     * cancellation confirmed before this term.
     */
    public boolean knowsEarlierCancellations() {
        int informedProcesses = informed ? 1 : 0;
        for (PeerCancellationState peer : peers) {
            informedProcesses += peer.informed ? 1 : 0;
        }
        return informedProcesses >= informedQuorum(peers.length + 1);
    }

    /** Returns whether this process is informed, in the sense of the class description. */
    boolean informed() {
        return informed;
    }

    /**
     * Returns a time up to which no later leader can have confirmed a cancellation, because enough informed processes
     * knew no higher term then, or {@link #NEVER} if there is no such time. A later leader confirms only cancellations
     * that n/2 other processes know, and a process that knows such a cancellation also knows the later leader's term.
     */
    long noOtherConfirmationUntil() {
        int requiredPeers = informedQuorum(peers.length + 1) - 1;
        if (!informed) {
            return NEVER;
        }
        if (requiredPeers == 0) {
            return environment.now();
        }
        long[] ascending = Arrays.stream(peers)
                .mapToLong(peer -> peer.knewNoHigherTermAt)
                .sorted()
                .toArray();
        return ascending[ascending.length - requiredPeers];
    }

    // ---- the term in which this controller leads

    /** Called when this controller becomes the leader, before it has read the stored cancellations. */
    void beginTerm() {
        endTerm();
        for (PeerCancellationState peer : peers) {
            peer.beginTerm();
        }
    }

    /**
     * Called when the leader has read all cancelled jobs from the store and passed them to {@link #addCancelled} or
     * {@link #confirm}.
     */
    public void allCancelledJobsRead() {
        informed = true;
        allCancelledJobsRead = true;
    }

    /** Called when this controller stops leading; pending cancellations are dropped without being confirmed. */
    void endTerm() {
        allCancelledJobsRead = false;
        confirmations.clear();
    }

    /** Tracks a durable cancellation; the action runs once enough peers know it, possibly within this call. */
    void confirm(String jobId, Runnable onConfirmed) {
        addCancelled(jobId);
        CancellationConfirmation confirmation = new CancellationConfirmation(onConfirmed);
        confirmations.put(jobId, confirmation);
        confirmIfKnownToQuorum(confirmation);
    }

    /** Called when no task of a cancelled job is on a machine any more; the job is no longer announced. */
    public void allTasksGone(String jobId) {
        confirmations.remove(jobId);
    }

    /** Returns whether there is an unconfirmed cancellation that the peer has not acknowledged. */
    boolean hasUnacknowledged(int peer) {
        return confirmations.values().stream()
                .anyMatch(confirmation -> !confirmation.confirmed() && !confirmation.acknowledgedBy.contains(peer));
    }

    private void confirmIfKnownToQuorum(CancellationConfirmation confirmation) {
        if (confirmation.confirmed()) {
            return;
        }
        int peersThatKnow = 0;
        for (int peer = 0; peer < peers.length; peer++) {
            // A peer of an older version never becomes informed, so no controller relies on it to know a cancellation.
            boolean needsNoAcknowledgement = peers[peer].version == PeerCancellationState.Version.WITHOUT_CANCELLATIONS;
            peersThatKnow += needsNoAcknowledgement || confirmation.acknowledgedBy.contains(peer) ? 1 : 0;
        }
        if (peersThatKnow >= (peers.length + 1) / 2) {
            confirmation.confirm();
        }
    }

    private void confirmAllKnownToQuorum() {
        for (String jobId : List.copyOf(confirmations.keySet())) {
            CancellationConfirmation confirmation = confirmations.get(jobId);
            if (confirmation != null) { // the action of an earlier confirmation may have removed it
                confirmIfKnownToQuorum(confirmation);
            }
        }
    }

    // ---- announcements

    /**
     * Returns what to announce to a peer.
     *
     * @param leaseHeld whether this controller certainly holds the leader's lease, so that no other controller can lead
     */
    CancellationKnowledge knowledgeFor(int peer, boolean leaseHeld) {
        boolean complete = allCancelledJobsRead
                && leaseHeld
                && confirmations.size() <= PeerMessage.MAX_CANCELLED_JOBS
                // A peer of an older version may become leader and confirm a cancellation that no other process knows.
                && Arrays.stream(peers)
                        .allMatch(other -> other.version == PeerCancellationState.Version.WITH_CANCELLATIONS);
        List<String> jobIds = new ArrayList<>();
        addConfirmations(jobIds, peer, false);
        addConfirmations(jobIds, peer, true);
        return new CancellationKnowledge(processId, peers[peer].processId, informed, complete, jobIds);
    }

    private void addConfirmations(List<String> jobIds, int peer, boolean acknowledged) {
        confirmations.forEach((jobId, confirmation) -> {
            if (jobIds.size() < PeerMessage.MAX_CANCELLED_JOBS
                    && confirmation.acknowledgedBy.contains(peer) == acknowledged) {
                jobIds.add(jobId);
            }
        });
    }

    /** Returns the reply to an announcement. */
    CancellationKnowledge knowledgeInReplyTo(TermAnnouncement received) {
        CancellationKnowledge theirs = received.knowledge();
        boolean fromCompleteLeader = received.senderLeads() && theirs != null && theirs.complete();
        List<String> jobIds = fromCompleteLeader ? List.of() : recentlyCancelled();
        return new CancellationKnowledge(
                processId,
                theirs == null ? 0 : theirs.processId(),
                informed && jobIds.size() <= PeerMessage.MAX_CANCELLED_JOBS,
                false,
                jobIds.subList(0, Math.min(jobIds.size(), PeerMessage.MAX_CANCELLED_JOBS)));
    }

    private List<String> recentlyCancelled() {
        long oldest = environment.now() - retentionMs;
        cancelledJobs.values().removeIf(reportedAt -> reportedAt < oldest);
        return List.copyOf(cancelledJobs.keySet());
    }

    /**
     * Processes an announcement.
     *
     * @param current whether the announced term is not lower than the highest term that this controller knows
     */
    void receive(TermAnnouncement received, boolean current) {
        CancellationKnowledge knowledge = received.knowledge();
        merge(received);
        if (knowledge == null) {
            return;
        }
        // An announcement addressed to an earlier process of this controller may lack cancellations that were confirmed
        // after the sender composed it.
        informed |= current
                && received.senderLeads()
                && knowledge.complete()
                && knowledge.recipientProcessId() == processId;
    }

    private void merge(TermAnnouncement received) {
        if (received.knowledge() == null) {
            // A leader of an older version confirms cancellations that no other process knows.
            informed &= !received.senderLeads();
        } else {
            received.knowledge().cancelledJobs().forEach(this::addCancelled);
        }
    }

    /**
     * Processes a peer's reply to an announcement of this controller's term.
     *
     * @param sentAt when the announcement was sent
     */
    void receiveReply(int from, TermAnnouncement reply, long sentAt, TermAnnouncement sent) {
        PeerCancellationState peer = peers[from];
        peer.receiveReply(reply.knowledge());
        merge(reply);
        if (reply.term() != sent.term()) {
            return;
        }
        if (peer.informed) {
            peer.knewNoHigherTermAt = Math.max(peer.knewNoHigherTermAt, sentAt);
        }
        if (peer.version == PeerCancellationState.Version.WITH_CANCELLATIONS) {
            acknowledge(from, sent.knowledge().cancelledJobs());
        }
        confirmAllKnownToQuorum();
    }

    private void acknowledge(int peer, List<String> jobIds) {
        for (String jobId : jobIds) {
            CancellationConfirmation confirmation = confirmations.get(jobId);
            if (confirmation != null) {
                confirmation.acknowledgedBy.add(peer);
            }
        }
    }
}
