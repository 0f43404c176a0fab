package stileferry.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import stileferry.protocol.Heartbeat;

/** What the leader knows, in one term, of the agent on a machine: its heartbeats, its lease and what it was sent. */
public final class AgentState {
    /** Heard from in this term. */
    private boolean heardThisTerm;

    private long incarnation;

    /** When this session was first seen, which must have begun by then. */
    private long incarnationSeenAt;

    private long sequence;

    private long fencingToken;

    private long lastHeardAt;

    /** The newest report, without the answers to commands: what is not newer than that is a copy. */
    private long heartbeatIncarnation;

    private long heartbeatSequence;

    /** The starts in the last answer to a report. */
    private Set<String> startsInLastResponse = Set.of();

    /** Since when nothing proves that this machine hears us; 0: it does, as far as we know. */
    private long unreachableSince;

    /** When a report of this machine was last answered in this term; 0: never. */
    private long lastAnsweredAt;

    /** Its silence as it is noted in the state service; null: not noted. */
    private LastHeartbeatRecord lastHeartbeatRecord;

    /** When a report of it was last answered before this leader began, if the former leader noted it; -1: unknown. */
    private long answeredByPreviousLeaderAt = -1;

    /** The session of which that is known. */
    private long answeredByPreviousLeaderIncarnation;

    /** The highest session that is proven to be over, or will be as soon as the machine is heard again. */
    private long expiredIncarnation;

    /** The newest that was heard from it, in a report or in an answer; null: nothing. */
    private Heartbeat lastHeartbeat;

    /**
     * The last report told of every claim, all of them as they should be, and of nothing else. As long as reports tell
     * the same there is nothing to take in and nothing to say.
     */
    private boolean reconciled;

    /** Reported tasks that no claim stands for: they are killed, and nothing starts here before they are gone. */
    private boolean hasOrphanTasks;

    /** Starts whose outcome is not durable yet, so that they may not be cleared. */
    private final Set<String> outcomesNotDurable = new HashSet<>();

    /** Direct start commands without an answer: such a command may be carried out at any time. */
    private final Map<String, Integer> unansweredStarts = new HashMap<>();

    /** Heard from in this term. */
    public boolean heardThisTerm() {
        return heardThisTerm;
    }

    public void setHeardThisTerm(boolean heardThisTerm) {
        this.heardThisTerm = heardThisTerm;
    }

    public long incarnation() {
        return incarnation;
    }

    public void setIncarnation(long incarnation) {
        this.incarnation = incarnation;
    }

    /** When this session was first seen, which must have begun by then. */
    public long incarnationSeenAt() {
        return incarnationSeenAt;
    }

    public void setIncarnationSeenAt(long incarnationSeenAt) {
        this.incarnationSeenAt = incarnationSeenAt;
    }

    public long sequence() {
        return sequence;
    }

    public void setSequence(long sequence) {
        this.sequence = sequence;
    }

    public long fencingToken() {
        return fencingToken;
    }

    public void setFencingToken(long fencingToken) {
        this.fencingToken = fencingToken;
    }

    public long lastHeardAt() {
        return lastHeardAt;
    }

    public void setLastHeardAt(long lastHeardAt) {
        this.lastHeardAt = lastHeardAt;
    }

    /** The newest report, without the answers to commands: what is not newer than that is a copy. */
    public long heartbeatIncarnation() {
        return heartbeatIncarnation;
    }

    public void setHeartbeatIncarnation(long heartbeatIncarnation) {
        this.heartbeatIncarnation = heartbeatIncarnation;
    }

    public long heartbeatSequence() {
        return heartbeatSequence;
    }

    public void setHeartbeatSequence(long heartbeatSequence) {
        this.heartbeatSequence = heartbeatSequence;
    }

    /** The starts in the last answer to a report. */
    public Set<String> startsInLastResponse() {
        return startsInLastResponse;
    }

    public void setStartsInLastResponse(Set<String> startsInLastResponse) {
        this.startsInLastResponse = startsInLastResponse;
    }

    /** Since when nothing proves that this machine hears us; 0: it does, as far as we know. */
    public long unreachableSince() {
        return unreachableSince;
    }

    public void setUnreachableSince(long unreachableSince) {
        this.unreachableSince = unreachableSince;
    }

    /** When a report of this machine was last answered in this term; 0: never. */
    public long lastAnsweredAt() {
        return lastAnsweredAt;
    }

    public void setLastAnsweredAt(long lastAnsweredAt) {
        this.lastAnsweredAt = lastAnsweredAt;
    }

    /** Its silence as it is noted in the state service; null: not noted. */
    public LastHeartbeatRecord lastHeartbeatRecord() {
        return lastHeartbeatRecord;
    }

    public void setLastHeartbeatRecord(LastHeartbeatRecord lastHeartbeatRecord) {
        this.lastHeartbeatRecord = lastHeartbeatRecord;
    }

    /** When a report of it was last answered before this leader began, if the former leader noted it; -1: unknown. */
    public long answeredByPreviousLeaderAt() {
        return answeredByPreviousLeaderAt;
    }

    public void setAnsweredByPreviousLeaderAt(long answeredByPreviousLeaderAt) {
        this.answeredByPreviousLeaderAt = answeredByPreviousLeaderAt;
    }

    /** The session of which that is known. */
    public long answeredByPreviousLeaderIncarnation() {
        return answeredByPreviousLeaderIncarnation;
    }

    public void setAnsweredByPreviousLeaderIncarnation(long answeredByPreviousLeaderIncarnation) {
        this.answeredByPreviousLeaderIncarnation = answeredByPreviousLeaderIncarnation;
    }

    /** The highest session that is proven to be over, or will be as soon as the machine is heard again. */
    public long expiredIncarnation() {
        return expiredIncarnation;
    }

    public void expireIncarnation(long expiredIncarnation) {
        this.expiredIncarnation = expiredIncarnation;
    }

    /** The newest that was heard from it, in a report or in an answer; null: nothing. */
    public Heartbeat lastHeartbeat() {
        return lastHeartbeat;
    }

    public void setLastHeartbeat(Heartbeat lastHeartbeat) {
        this.lastHeartbeat = lastHeartbeat;
    }

    /**
     * The last report told of every claim, all of them as they should be, and of nothing else. As long as reports tell
     * the same there is nothing to take in and nothing to say.
     */
    public boolean reconciled() {
        return reconciled;
    }

    public void setReconciled(boolean reconciled) {
        this.reconciled = reconciled;
    }

    /** Reported tasks that no claim stands for: they are killed, and nothing starts here before they are gone. */
    public boolean hasOrphanTasks() {
        return hasOrphanTasks;
    }

    public void setHasOrphanTasks(boolean hasOrphanTasks) {
        this.hasOrphanTasks = hasOrphanTasks;
    }

    /** Starts whose outcome is not durable yet, so that they may not be cleared. */
    public Set<String> outcomesNotDurable() {
        return outcomesNotDurable;
    }

    /** Direct start commands without an answer: such a command may be carried out at any time. */
    public Map<String, Integer> unansweredStarts() {
        return unansweredStarts;
    }
}
