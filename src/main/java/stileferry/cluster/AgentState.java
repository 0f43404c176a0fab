package stileferry.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import stileferry.protocol.Heartbeat;

/**
 * What the leader knows, in one term, of the agent on a machine: its heartbeats, its lease and what it was sent. An
 * agent's status comes in heartbeats and in the answers to commands; both are numbered in one sequence per incarnation.
 * Times are milliseconds on the controller's steady clock.
 */
public final class AgentState {
    private boolean heardThisTerm;
    private long lastHeardAt;
    private long incarnation;
    private long incarnationSeenAt;
    private long sequence;
    private long fencingToken;
    private Heartbeat lastHeartbeat;
    private boolean reconciled;
    private boolean hasOrphanTasks;

    private long heartbeatIncarnation;
    private long heartbeatSequence;

    private long lastAnsweredAt;
    private long answeredByPreviousLeaderAt = -1;
    private long answeredByPreviousLeaderIncarnation;
    private LastHeartbeatRecord lastHeartbeatRecord;
    private long expiredIncarnation;
    private long unreachableSince;

    private Set<String> startsInLastResponse = Set.of();
    private final Set<String> nonDurableOutcomes = new HashSet<>();

    /** For each attempt the number of direct commands to start it that were not answered. */
    private final Map<String, Integer> unansweredDirectStarts = new HashMap<>();

    // ---- status

    /** Whether it was heard from in this term. */
    public boolean heardThisTerm() {
        return heardThisTerm;
    }

    /** When it was last heard from; 0: not in this term. */
    public long lastHeardAt() {
        return lastHeardAt;
    }

    public void markHeard(long now) {
        lastHeardAt = now;
    }

    /** The incarnation of the newest status; 0: none was heard. */
    public long incarnation() {
        return incarnation;
    }

    /** When this incarnation was first seen, so that its lease began by then. */
    public long incarnationSeenAt() {
        return incarnationSeenAt;
    }

    /** A new incarnation was seen: what was sent to an older one can't be carried out any more. */
    public void beginIncarnation(long now) {
        incarnationSeenAt = now;
        unansweredDirectStarts.clear();
        nonDurableOutcomes.clear();
    }

    /** The number of the newest status in its incarnation. */
    public long sequence() {
        return sequence;
    }

    /** The fencing token of the newest status: the highest term that the agent has acknowledged. */
    public long fencingToken() {
        return fencingToken;
    }

    /** Takes in the newest status, but for its tasks, which follow with {@link #setLastHeartbeat}. */
    public void recordStatus(Heartbeat status, long now) {
        heardThisTerm = true;
        lastHeardAt = now;
        incarnation = status.incarnation();
        sequence = status.sequence();
        fencingToken = status.fencingToken();
    }

    /** Takes in a heartbeat that differs from the newest status by its number only, and is answered at once. */
    public void recordUnchangedHeartbeat(Heartbeat heartbeat, long now) {
        sequence = heartbeat.sequence();
        lastHeartbeat = heartbeat;
        lastHeardAt = now;
        lastAnsweredAt = now;
        startsInLastResponse = Set.of();
    }

    /** The newest status, from a heartbeat or from the answer to a command; null: none was heard. */
    public Heartbeat lastHeartbeat() {
        return lastHeartbeat;
    }

    public void setLastHeartbeat(Heartbeat lastHeartbeat) {
        this.lastHeartbeat = lastHeartbeat;
    }

    /**
     * Whether the newest status named every assignment of the machine, each in the state that is wanted, and no other
     * task. As long as heartbeats say the same there is nothing to take in and nothing to send.
     */
    public boolean reconciled() {
        return reconciled;
    }

    public void setReconciled(boolean reconciled) {
        this.reconciled = reconciled;
    }

    /** Whether it reports tasks without an assignment: they are killed, and nothing starts before they are gone. */
    public boolean hasOrphanTasks() {
        return hasOrphanTasks;
    }

    public void setHasOrphanTasks(boolean hasOrphanTasks) {
        this.hasOrphanTasks = hasOrphanTasks;
    }

    // ---- heartbeats

    /** Notes the number of the newest heartbeat. */
    public void recordHeartbeatSequence(Heartbeat heartbeat) {
        heartbeatIncarnation = heartbeat.incarnation();
        heartbeatSequence = heartbeat.sequence();
    }

    /** The incarnation of the newest heartbeat, not counting answers to commands: what is not newer is a late copy. */
    public long heartbeatIncarnation() {
        return heartbeatIncarnation;
    }

    /** The sequence number of the newest heartbeat, not counting answers to commands. */
    public long heartbeatSequence() {
        return heartbeatSequence;
    }

    // ---- its lease

    /** When a heartbeat of it was last answered in this term; 0: never. */
    public long lastAnsweredAt() {
        return lastAnsweredAt;
    }

    public void markAnswered(long now) {
        lastAnsweredAt = now;
    }

    /** When a heartbeat was last answered before this leader began, if the previous leader noted it; -1: unknown. */
    public long answeredByPreviousLeaderAt() {
        return answeredByPreviousLeaderAt;
    }

    /** The incarnation whose heartbeat the previous leader answered then. */
    public long answeredByPreviousLeaderIncarnation() {
        return answeredByPreviousLeaderIncarnation;
    }

    /** The previous leader noted that it last answered this incarnation then. */
    public void recordAnsweredByPreviousLeader(long answeredIncarnation, long answeredAt) {
        answeredByPreviousLeaderIncarnation = answeredIncarnation;
        answeredByPreviousLeaderAt = answeredAt;
    }

    /** The note in the store of when its last heartbeat was answered; null: there is none. */
    public LastHeartbeatRecord lastHeartbeatRecord() {
        return lastHeartbeatRecord;
    }

    public void setLastHeartbeatRecord(LastHeartbeatRecord noted) {
        lastHeartbeatRecord = noted;
    }

    /** The note in the store, if there is one, is not needed any more. */
    public void discardLastHeartbeatRecord() {
        if (lastHeartbeatRecord != null) {
            lastHeartbeatRecord.markObsolete();
            lastHeartbeatRecord = null;
        }
    }

    /** The highest incarnation whose lease is proven to have expired, or will have once the agent is heard again. */
    public long expiredIncarnation() {
        return expiredIncarnation;
    }

    public void expireIncarnation(long expired) {
        expiredIncarnation = expired;
    }

    // ---- what it was sent

    /** Since when nothing proves that the agent hears this leader; 0: it does, as far as is known. */
    public long unreachableSince() {
        return unreachableSince;
    }

    public void markUnreachable(long now) {
        unreachableSince = now;
    }

    /** It has shown that it hears this leader. */
    public void markReachable() {
        unreachableSince = 0;
    }

    /** The attempts whose start was commanded in the last answer to a heartbeat. */
    public Set<String> startsInLastResponse() {
        return startsInLastResponse;
    }

    public void setStartsInLastResponse(Set<String> attemptIds) {
        startsInLastResponse = attemptIds;
    }

    /** The outcome of an attempt is about to be stored; the attempt may not be cleared before that is durable. */
    public void addNonDurableOutcome(String attemptId) {
        nonDurableOutcomes.add(attemptId);
    }

    /** The outcome of an attempt is durable. */
    public void markOutcomeDurable(String attemptId) {
        nonDurableOutcomes.remove(attemptId);
    }

    /** Whether the outcome of an attempt is about to be stored, so that the attempt may not be cleared. */
    public boolean hasNonDurableOutcome(String attemptId) {
        return nonDurableOutcomes.contains(attemptId);
    }

    /** A start is commanded directly, not in the answer to a heartbeat. */
    public void recordDirectStartSent(String attemptId) {
        unansweredDirectStarts.merge(attemptId, 1, Integer::sum);
    }

    /** A start that was commanded directly was answered. */
    public void recordDirectStartAnswered(String attemptId) {
        unansweredDirectStarts.computeIfPresent(attemptId, (any, commands) -> commands == 1 ? null : commands - 1);
    }

    /** Whether a start that was commanded directly was not answered: it may be carried out at any time. */
    public boolean hasUnansweredDirectStart(String attemptId) {
        return unansweredDirectStarts.containsKey(attemptId);
    }
}
