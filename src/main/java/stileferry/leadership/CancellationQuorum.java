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
 * Cancelled jobs as this process knows them, and how far its knowledge goes. A controller that renews workers' leases
 * without holding the leader's lease must know every cancellation that another one may have confirmed, or tasks of
 * cancelled jobs would outlive {@code cancel_s} on the leases that it renews.
 *
 * <p>Of n processes, a leader confirms a cancellation to a user only when it and n/2 others know it. A process counts
 * as informed once a leader that held its lease named to it every cancellation since the process began. An informed
 * process does not know a cancellation only if it was not among those who acknowledged it; so n - n/2 informed
 * processes together know all of them (docs/design.md, "Cancellations"). Only processes that say that they keep this
 * count.
 */
public final class CancellationQuorum {
    /** Jobs are remembered for so many times as long as their tasks may last after they were last named. */
    private static final int REMEMBERED = 2;

    /** Stands for a time that has not come. */
    static final long NEVER = -1;

    private final Environment environment;
    private final long processId;
    private final long rememberedMs;

    /** Cancelled jobs by the time at which each was last named to this process, the latest last. */
    private final Map<String, Long> cancelledJobs = new LinkedHashMap<>();

    private final PeerCancellationState[] peers;
    private boolean informed;

    // of the term in which this node leads

    /** Jobs whose cancellation is durable and whose tasks may be on machines. */
    private final Map<String, CancellationConfirmation> confirmations = new LinkedHashMap<>();

    private boolean allCancelledJobsRead;

    CancellationQuorum(Environment environment, Settings settings) {
        this.environment = environment;
        this.processId = 1 + environment.random().nextLong(Long.MAX_VALUE - 1);
        this.peers = new PeerCancellationState[settings.peers().size()];
        Arrays.setAll(peers, index -> new PeerCancellationState());
        double lastS = settings.workers().cancelDeadlineS() + settings.workers().leaseS();
        this.rememberedMs = Math.round(1000 * REMEMBERED * lastS);
    }

    /** Processes that must be informed for all of them together to know every cancellation. */
    static int informedQuorum(int processes) {
        return processes - processes / 2;
    }

    // ---- what is known

    /** Takes in that a job's cancellation is durable. */
    public void addCancelled(String jobId) {
        cancelledJobs.remove(jobId);
        cancelledJobs.put(jobId, environment.now());
    }

    /** Kill commands for the tasks of cancelled jobs that a heartbeat reports. */
    public List<WorkerCommand> killCommandsFor(Heartbeat heartbeat) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            if (status.phase() != Heartbeat.TaskPhase.EXITED && isOfCancelledJob(status.taskId())) {
                commands.add(new WorkerCommand(WorkerCommand.Kind.KILL, status.taskId(), status.attempt(), 0));
            }
        }
        return commands;
    }

    private boolean isOfCancelledJob(String taskId) {
        int slash = taskId.indexOf('/');
        return slash > 0 && cancelledJobs.containsKey(taskId.substring(0, slash));
    }

    /** Whether this process and those that answered in this node's term know every cancellation before this term. */
    public boolean knowsEarlierCancellations() {
        int informedProcesses = informed ? 1 : 0;
        for (PeerCancellationState peer : peers) {
            informedProcesses += peer.informed ? 1 : 0;
        }
        return informedProcesses >= informedQuorum(peers.length + 1);
    }

    boolean informed() {
        return informed;
    }

    /**
     * Until when no later leader has certainly confirmed anything: enough informed processes knew of none. A later
     * leader confirms only what n/2 others know, and whoever knows it knows its term.
     */
    long noOtherConfirmationUntil() {
        int others = informedQuorum(peers.length + 1) - 1;
        if (!informed) {
            return NEVER;
        }
        if (others == 0) {
            return environment.now();
        }
        long[] ascending = Arrays.stream(peers)
                .mapToLong(peer -> peer.knewNoHigherTermAt)
                .sorted()
                .toArray();
        return ascending[ascending.length - others];
    }

    // ---- leading

    /** This node leads from now on; what it must know it has yet to read. */
    void beginTerm() {
        endTerm();
        for (PeerCancellationState peer : peers) {
            peer.beginTerm();
        }
    }

    /** All cancelled jobs have been read and passed to {@link #addCancelled} or {@link #confirm}. */
    public void allCancelledJobsRead() {
        informed = true;
        allCancelledJobsRead = true;
    }

    /** This node no longer leads; nothing that waits is confirmed. */
    void endTerm() {
        allCancelledJobsRead = false;
        confirmations.clear();
    }

    /** Tells others of a job whose cancellation is durable; the action runs when enough of them know. */
    void confirm(String jobId, Runnable onConfirmed) {
        addCancelled(jobId);
        CancellationConfirmation confirmation = new CancellationConfirmation(onConfirmed);
        confirmations.put(jobId, confirmation);
        confirmIfKnownToQuorum(confirmation);
    }

    /** No task of this job is on a machine any more. */
    public void allTasksGone(String jobId) {
        confirmations.remove(jobId);
    }

    /** Whether an unconfirmed cancellation has not been acknowledged by a peer. */
    boolean hasUnacknowledged(int peer) {
        return confirmations.values().stream()
                .anyMatch(confirmation -> !confirmation.confirmed() && !confirmation.acknowledgedBy.contains(peer));
    }

    private void confirmIfKnownToQuorum(CancellationConfirmation confirmation) {
        if (confirmation.confirmed()) {
            return;
        }
        int others = 0;
        for (int peer = 0; peer < peers.length; peer++) {
            // an older version is never informed, so it can't be taken for one that knows
            boolean counts = peers[peer].version == PeerCancellationState.Version.WITHOUT_CANCELLATIONS;
            others += counts || confirmation.acknowledgedBy.contains(peer) ? 1 : 0;
        }
        if (others >= (peers.length + 1) / 2) {
            confirmation.confirm();
        }
    }

    private void confirmAllKnownToQuorum() {
        for (String jobId : List.copyOf(confirmations.keySet())) {
            CancellationConfirmation confirmation = confirmations.get(jobId);
            if (confirmation != null) { // an earlier confirmation's action may have removed it
                confirmIfKnownToQuorum(confirmation);
            }
        }
    }

    // ---- announcements

    /** What to announce to a peer; {@code leaseHeld}: this node leads, and nobody else can. */
    CancellationKnowledge knowledgeFor(int peer, boolean leaseHeld) {
        boolean complete = allCancelledJobsRead
                && leaseHeld
                && confirmations.size() <= PeerMessage.MAX_CANCELLED_JOBS
                // an older version may lead one day and confirm what nobody else knows
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

    /** What to answer to an announcement. */
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
        long oldest = environment.now() - rememberedMs;
        cancelledJobs.values().removeIf(namedAt -> namedAt < oldest);
        return List.copyOf(cancelledJobs.keySet());
    }

    /** Takes in an announcement; {@code current}: its term is not outdated. */
    void receive(TermAnnouncement received, boolean current) {
        CancellationKnowledge knowledge = received.knowledge();
        merge(received);
        if (knowledge == null) {
            return;
        }
        // an announcement to an earlier process of this node does not hold what was confirmed since
        informed |= current
                && received.senderLeads()
                && knowledge.complete()
                && knowledge.recipientProcessId() == processId;
    }

    private void merge(TermAnnouncement received) {
        if (received.knowledge() == null) {
            informed &= !received.senderLeads(); // a leader of an older version confirms what nobody else knows
        } else {
            received.knowledge().cancelledJobs().forEach(this::addCancelled);
        }
    }

    /** Takes in a peer's reply to what was announced to it at {@code sentAt}. */
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
