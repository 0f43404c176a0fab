package stileferry.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.InvalidJobSpecException;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.storage.StoredEntry;

/** An accepted job that is not over, and what is known of its tasks. */
public final class Job {
    public static final String PREFIX = "j/";

    private final JobSpec spec;
    private final long acceptanceOrder;
    private final long acceptedAt;
    private final BitSet completedTasks = new BitSet();

    /** Tasks that are done or claimed. */
    private final BitSet completedOrAssigned = new BitSet();

    private final Map<Integer, TaskAssignment> assignments = new HashMap<>();
    private final Map<Integer, RestartBackOff> retries = new HashMap<>();
    private final Map<String, Integer> tasksInZone = new HashMap<>();

    /** Machines that failed a task of this job. */
    private final Set<String> failedMachines = new HashSet<>();

    /** Users waiting for the acceptance, or for the cancellation, to be durable. */
    private List<Consumer<PeerMessage.Response>> pendingReplies = new ArrayList<>();

    /** Since when the first of them waits; 0: nobody does. */
    private long repliesPendingSince;

    private final StoredEntry entry;

    /** Tasks in one part of the older form of record; 1 for jobs without such parts. */
    private int legacyChunkTasks = 1;

    /** A task of it was seen running, or is done. */
    private boolean started;

    private boolean accepted;
    private boolean cancelled;
    private boolean cancelDurable;

    /** Enough controllers know that it is cancelled. */
    private boolean cancelReplicated;

    /** Users may hear that it is cancelled. */
    private boolean cancelConfirmed;

    private boolean completing;

    /** Its end is durable. */
    private boolean completed;

    /** The highest attempt of a gang of which a task has ended without being done; 0: none. */
    private long lastFailedAttempt;

    private boolean withinQuota;

    /** Since when room is being made for it where its image is; 0: not so. */
    private long heldBackSince;

    private int successes;
    private int completedCount;
    private int[] completionRecords;

    public Job(JobSpec spec, long order, long acceptedAt, long revision) {
        this.spec = spec;
        this.acceptanceOrder = order;
        this.acceptedAt = acceptedAt;
        this.entry = new StoredEntry(key(spec.id()), revision, this::write).requireAbsent(completedKey(spec.id()));
    }

    public static String key(String id) {
        return PREFIX + id;
    }

    public static String completedKey(String id) {
        return "e/" + id;
    }

    public static Job read(JsonNode v, long revision) throws InvalidJobSpecException {
        Job job = new Job(
                JobSpec.read(v.path("spec")),
                v.path("order").asLong(),
                v.path("at").asLong(),
                revision);
        job.legacyChunkTasks = Math.max(1, v.path("chunk").asInt(1));
        job.accepted = true;
        job.cancelled = v.path("cancelled").asBoolean();
        job.cancelDurable = job.cancelled;
        return job;
    }

    private ObjectNode write() {
        ObjectNode v = MessageCodec.map()
                .put("order", acceptanceOrder)
                .put("at", acceptedAt)
                .put("cancelled", cancelled);
        if (legacyChunkTasks > 1) {
            v.put("chunk", legacyChunkTasks);
        }
        v.set("spec", spec.write());
        return v;
    }

    /** Takes in that a task is done. */
    public void markCompleted(int index) {
        completedOrAssigned.set(index);
        started = true;
        if (!completedTasks.get(index)) {
            completedTasks.set(index);
            completedCount++;
        }
    }

    public int completedCount() {
        return completedCount;
    }

    /** The number of the record that says that a task is done. */
    public int completionRecord(int index) {
        return completionRecords == null ? 0 : completionRecords[index];
    }

    public void completionRecord(int from, int to, int number) {
        if (completionRecords == null) {
            completionRecords = new int[spec.taskCount()];
        }
        java.util.Arrays.fill(completionRecords, from, to + 1, number);
    }

    /** The next task that waits and may start now; -1 when there is none. */
    public int nextPendingTask(long now) {
        if (cancelled || completing || !accepted || spec.gang() && !gangReady(now)) {
            return -1;
        }
        for (int i = completedOrAssigned.nextClearBit(0);
                i < spec.taskCount();
                i = completedOrAssigned.nextClearBit(i + 1)) {
            RestartBackOff retry = retries.get(i);
            if (retry == null || retry.notBefore() <= now) {
                return i;
            }
        }
        return -1;
    }

    /** A gang starts whole: not while a task of it may be on a machine, or has to pause after a failure. */
    private boolean gangReady(long now) {
        if (!assignments.isEmpty()) {
            return false;
        }
        for (RestartBackOff retry : retries.values()) {
            if (retry.notBefore() > now) {
                return false;
            }
        }
        return true;
    }

    /** Whether all tasks are claimed under one attempt number. */
    public boolean assignmentsFormOneAttempt() {
        return assignments.size() == spec.taskCount()
                && assignments.values().stream()
                                .mapToLong(claim -> claim.attempt())
                                .distinct()
                                .count()
                        == 1;
    }

    public int pendingCount() {
        return cancelled || completing || !accepted ? 0 : spec.taskCount() - completedOrAssigned.cardinality();
    }

    public int unfinishedCount() {
        return spec.taskCount() - completedCount;
    }

    public int runningCount() {
        int running = 0;
        for (TaskAssignment claim : assignments.values()) {
            if (claim.runningSince() != 0) {
                running++;
            }
        }
        return running;
    }

    /** Whether a task that was sent to a machine may begin there without another word. */
    public boolean mayStartUnprompted() {
        for (TaskAssignment claim : assignments.values()) {
            if (claim.phase() == null || claim.phase() == Heartbeat.TaskPhase.PULLING_IMAGE) {
                return true;
            }
        }
        return false;
    }

    public JobSpec spec() {
        return spec;
    }

    public long acceptanceOrder() {
        return acceptanceOrder;
    }

    public long acceptedAt() {
        return acceptedAt;
    }

    public BitSet completedTasks() {
        return completedTasks;
    }

    /** Tasks that are done or claimed. */
    public BitSet completedOrAssigned() {
        return completedOrAssigned;
    }

    public Map<Integer, TaskAssignment> assignments() {
        return assignments;
    }

    public Map<Integer, RestartBackOff> retries() {
        return retries;
    }

    public Map<String, Integer> tasksInZone() {
        return tasksInZone;
    }

    /** Machines that failed a task of this job. */
    public Set<String> failedMachines() {
        return failedMachines;
    }

    /** Users waiting for the acceptance, or for the cancellation, to be durable. */
    public List<Consumer<PeerMessage.Response>> pendingReplies() {
        return pendingReplies;
    }

    public void setPendingReplies(List<Consumer<PeerMessage.Response>> waiting) {
        this.pendingReplies = waiting;
    }

    /** Since when the first of them waits; 0: nobody does. */
    public long repliesPendingSince() {
        return repliesPendingSince;
    }

    public void setRepliesPendingSince(long waitingSince) {
        this.repliesPendingSince = waitingSince;
    }

    public StoredEntry entry() {
        return entry;
    }

    /** Tasks in one part of the older form of record; 1 for jobs without such parts. */
    public int legacyChunkTasks() {
        return legacyChunkTasks;
    }

    public void setLegacyChunkTasks(int chunkTasks) {
        this.legacyChunkTasks = chunkTasks;
    }

    /** A task of it was seen running, or is done. */
    public boolean started() {
        return started;
    }

    public void setStarted(boolean begun) {
        this.started = begun;
    }

    public boolean accepted() {
        return accepted;
    }

    public void setAccepted(boolean accepted) {
        this.accepted = accepted;
    }

    public boolean cancelled() {
        return cancelled;
    }

    public void setCancelled(boolean cancelled) {
        this.cancelled = cancelled;
    }

    public boolean cancelDurable() {
        return cancelDurable;
    }

    public void setCancelDurable(boolean cancelDurable) {
        this.cancelDurable = cancelDurable;
    }

    /** Enough controllers know that it is cancelled. */
    public boolean cancelReplicated() {
        return cancelReplicated;
    }

    public void setCancelReplicated(boolean cancelKnown) {
        this.cancelReplicated = cancelKnown;
    }

    /** Users may hear that it is cancelled. */
    public boolean cancelConfirmed() {
        return cancelConfirmed;
    }

    public void setCancelConfirmed(boolean cancelTold) {
        this.cancelConfirmed = cancelTold;
    }

    public boolean completing() {
        return completing;
    }

    public void setCompleting(boolean ending) {
        this.completing = ending;
    }

    /** Its end is durable. */
    public boolean completed() {
        return completed;
    }

    public void setCompleted(boolean over) {
        this.completed = over;
    }

    /** The highest attempt of a gang of which a task has ended without being done; 0: none. */
    public long lastFailedAttempt() {
        return lastFailedAttempt;
    }

    public void setLastFailedAttempt(long endedAttempt) {
        this.lastFailedAttempt = endedAttempt;
    }

    public boolean withinQuota() {
        return withinQuota;
    }

    public void setWithinQuota(boolean withinGuarantee) {
        this.withinQuota = withinGuarantee;
    }

    /** Since when room is being made for it where its image is; 0: not so. */
    public long heldBackSince() {
        return heldBackSince;
    }

    public void setHeldBackSince(long keptBackAt) {
        this.heldBackSince = keptBackAt;
    }

    public int successes() {
        return successes;
    }

    /** Counts a task that completed. */
    public void countSuccess() {
        successes++;
    }
}
