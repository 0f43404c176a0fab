package stileferry.cluster;

import java.util.HashSet;
import java.util.Set;
import stileferry.protocol.Heartbeat;

/**
 * The leader's knowledge, in one term, of the agent on a machine: its heartbeats, its lease and the commands sent to
 * it. An agent reports its status in heartbeats and in responses to commands; both share one sequence of numbers per
 * incarnation. Times are milliseconds on the controller's steady clock.
 */
public final class AgentState {
    private boolean heardThisTerm;
    private long lastHeardAt;
    private long incarnation;
    private long sequence;
    private long fencingToken;
    private Heartbeat lastHeartbeat;
    private boolean reconciled;
    private boolean hasOrphanTasks;

    private long heartbeatIncarnation;
    private long heartbeatSequence;

    private final LeaseState lease = new LeaseState();

    private long unreachableSince;

    private Set<String> startsInLastResponse = Set.of();
    private final Set<String> nonDurableOutcomes = new HashSet<>();
    private final StartFence startFence = new StartFence();
    private final ForgottenAttempts forgottenAttempts = new ForgottenAttempts();

    // ---- status

    /** Returns whether the agent was heard from in this term. */
    public boolean heardThisTerm() {
        return heardThisTerm;
    }

    /** Returns when the agent was last heard from, or 0 if it was not heard from in this term. */
    public long lastHeardAt() {
        return lastHeardAt;
    }

    public void markHeard(long now) {
        lastHeardAt = now;
    }

    /** Returns the incarnation of the newest status, or 0 if no status was received. */
    public long incarnation() {
        return incarnation;
    }

    /** Records that a new incarnation was seen. Commands sent to an older one can't be carried out any more. */
    public void beginIncarnation(long now) {
        lease.recordIncarnation(now);
        startFence.beginIncarnation();
        nonDurableOutcomes.clear();
    }

    /** Returns the sequence number of the newest status within its incarnation. */
    public long sequence() {
        return sequence;
    }

    /** Returns the fencing token of the newest status: the highest term that the agent has acknowledged. */
    public long fencingToken() {
        return fencingToken;
    }

    /**
     * Records the newest status except its tasks, which {@link #setLastHeartbeat} adds later.
     *
     * @param firstToken the first fencing token of this term
     */
    public void recordStatus(Heartbeat status, long firstToken, long now) {
        heardThisTerm = true;
        lastHeardAt = now;
        incarnation = status.incarnation();
        sequence = status.sequence();
        fencingToken = status.fencingToken();
        startFence.acknowledge(fencingToken - firstToken);
    }

    /**
     * Records a heartbeat that differs from the newest status only in its sequence number. It is answered immediately,
     * without commands.
     */
    public void recordUnchangedHeartbeat(Heartbeat heartbeat, long now) {
        sequence = heartbeat.sequence();
        lastHeartbeat = heartbeat;
        lastHeardAt = now;
        lease.markAnswered(now);
        startsInLastResponse = Set.of();
    }

    /** Returns the newest status, from a heartbeat or a response to a command, or null if there is none. */
    public Heartbeat lastHeartbeat() {
        return lastHeartbeat;
    }

    public void setLastHeartbeat(Heartbeat lastHeartbeat) {
        this.lastHeartbeat = lastHeartbeat;
    }

    /**
     * Returns whether the newest status contained exactly the machine's assignments, each in its desired state. As long
     * as heartbeats do not change, there is nothing to reconcile and no command to send.
     */
    public boolean reconciled() {
        return reconciled;
    }

    public void setReconciled(boolean reconciled) {
        this.reconciled = reconciled;
    }

    /**
     * Returns whether the agent reports running tasks without an assignment; they are killed before new tasks start.
     */
    public boolean hasOrphanTasks() {
        return hasOrphanTasks;
    }

    public void setHasOrphanTasks(boolean hasOrphanTasks) {
        this.hasOrphanTasks = hasOrphanTasks;
    }

    // ---- heartbeats

    /** Records the incarnation and sequence number of the newest heartbeat. */
    public void recordHeartbeatSequence(Heartbeat heartbeat) {
        heartbeatIncarnation = heartbeat.incarnation();
        heartbeatSequence = heartbeat.sequence();
    }

    /**
     * Returns the incarnation of the newest heartbeat, not counting responses to commands. A heartbeat that is not
     * newer than this one is a delayed duplicate.
     */
    public long heartbeatIncarnation() {
        return heartbeatIncarnation;
    }

    /** Returns the sequence number of the newest heartbeat, not counting responses to commands. */
    public long heartbeatSequence() {
        return heartbeatSequence;
    }

    // ---- lease

    /** Returns what is known about the agent's lease. */
    public LeaseState lease() {
        return lease;
    }

    // ---- commands

    /** Returns since when there is no proof that this leader's messages reach the agent, or 0 if they seem to. */
    public long unreachableSince() {
        return unreachableSince;
    }

    public void markUnreachable(long now) {
        unreachableSince = now;
    }

    /** Records that the agent has proven that it receives this leader's messages. */
    public void markReachable() {
        unreachableSince = 0;
    }

    /** Returns the ids of the attempts whose start was commanded in the last response to a heartbeat. */
    public Set<String> startsInLastResponse() {
        return startsInLastResponse;
    }

    public void setStartsInLastResponse(Set<String> attemptIds) {
        startsInLastResponse = attemptIds;
    }

    /** Records that an attempt's outcome is being stored; the attempt may not be cleared before it is durable. */
    public void addNonDurableOutcome(String attemptId) {
        nonDurableOutcomes.add(attemptId);
    }

    /** Records that the outcome of an attempt is durable. */
    public void markOutcomeDurable(String attemptId) {
        nonDurableOutcomes.remove(attemptId);
    }

    /** Returns whether an attempt's outcome is still being stored, so that the attempt may not be cleared. */
    public boolean hasNonDurableOutcome(String attemptId) {
        return nonDurableOutcomes.contains(attemptId);
    }

    /** Returns the fence against direct requests that arrive late or once more. */
    public StartFence startFence() {
        return startFence;
    }

    /** Records that the agent is told to forget an attempt. */
    public void recordClear(String attemptId) {
        forgottenAttempts.recordClear(attemptId);
    }

    /** Returns a reported attempt that the agent had been told to forget and had forgotten, or null. */
    public Heartbeat.TaskStatus findForgottenAttempt(Heartbeat status) {
        return forgottenAttempts.update(status);
    }
}
