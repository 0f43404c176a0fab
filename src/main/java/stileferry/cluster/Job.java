package stileferry.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.InvalidJobSpecException;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.storage.StoredEntry;

/**
 * A job that is not completed, and what the leader knows of its tasks. Tasks are numbered from 0. A task is pending,
 * assigned to a machine, or completed. Times are milliseconds on the controller's steady clock, unless they are said to
 * be times of day.
 */
public final class Job {
    public static final String PREFIX = "j/";

    private static final String COMPLETED_PREFIX = "e/";

    private final JobSpec spec;
    private final long acceptanceOrder;
    private final long acceptedAt;
    private final StoredEntry entry;

    private JobPhase phase = JobPhase.SUBMITTED;
    private CancellationPhase cancellation = CancellationPhase.NONE;
    private boolean started;

    private final CompletedTasks completedTasks;
    private final BitSet completedOrAssigned = new BitSet();

    /** The number of tasks in one part of a record of the first stored form; 1 for jobs without such parts. */
    private int legacyChunkTasks = 1;

    private final Map<Integer, TaskAssignment> assignments = new HashMap<>();
    private final Map<Integer, TaskAssignment> assignmentsView = Collections.unmodifiableMap(assignments);
    private final Map<String, Integer> tasksInZone = new HashMap<>();
    private final Set<String> zonesView = Collections.unmodifiableSet(tasksInZone.keySet());

    private final FailureHistory failures = new FailureHistory();

    private boolean withinQuota;
    private long heldBackSince;

    /**
     * A submitted job.
     *
     * @param acceptanceOrder its place in the order of submissions
     * @param acceptedAt the time of day of its submission
     * @param revision the revision of its stored record; 0 if it is not stored
     */
    public Job(JobSpec spec, long acceptanceOrder, long acceptedAt, long revision) {
        this.spec = spec;
        this.acceptanceOrder = acceptanceOrder;
        this.acceptedAt = acceptedAt;
        this.completedTasks = new CompletedTasks(spec.taskCount());
        this.entry = new StoredEntry(key(spec.id()), revision, this::write).requireAbsent(completedKey(spec.id()));
    }

    // ---- the stored record

    public static String key(String id) {
        return PREFIX + id;
    }

    /** The key under which the end of the job is stored. */
    public static String completedKey(String id) {
        return COMPLETED_PREFIX + id;
    }

    /**
     * Reads a stored job, which is accepted, and whose cancellation is durable if it is cancelled.
     *
     * @throws InvalidJobSpecException if what its user submitted can't be read
     */
    public static Job read(JsonNode value, long revision) throws InvalidJobSpecException {
        Job job = new Job(
                JobSpec.read(value.path("spec")),
                value.path("order").asLong(),
                value.path("at").asLong(),
                revision);
        job.legacyChunkTasks = Math.max(1, value.path("chunk").asInt(1));
        job.markAccepted();
        if (value.path("cancelled").asBoolean()) {
            job.markCancellationDurable();
        }
        return job;
    }

    private ObjectNode write() {
        ObjectNode value = MessageCodec.map()
                .put("order", acceptanceOrder)
                .put("at", acceptedAt)
                .put("cancelled", cancelled());
        if (legacyChunkTasks > 1) {
            value.put("chunk", legacyChunkTasks);
        }
        value.set("spec", spec.write());
        return value;
    }

    /** What is stored of it while it is not completed. */
    public StoredEntry entry() {
        return entry;
    }

    public JobSpec spec() {
        return spec;
    }

    public long acceptanceOrder() {
        return acceptanceOrder;
    }

    /** The time of day of its submission, in milliseconds. */
    public long acceptedAt() {
        return acceptedAt;
    }

    /** The number of tasks in one part of a record of the first stored form; 1 for jobs without such parts. */
    public int legacyChunkTasks() {
        return legacyChunkTasks;
    }

    // ---- phases

    /** Its record is durable. */
    public void markAccepted() {
        advanceTo(JobPhase.ACCEPTED);
    }

    /** All of its tasks are settled; its end is about to be stored. */
    public void markCompleting() {
        advanceTo(JobPhase.COMPLETING);
    }

    /** The record of its end is durable. */
    public void markCompleted() {
        advanceTo(JobPhase.COMPLETED);
    }

    private void advanceTo(JobPhase next) {
        if (phase.compareTo(next) < 0) {
            phase = next;
        }
    }

    public boolean accepted() {
        return phase.compareTo(JobPhase.ACCEPTED) >= 0;
    }

    public boolean completing() {
        return phase.compareTo(JobPhase.COMPLETING) >= 0;
    }

    /** Whether the record of its end is durable. */
    public boolean completed() {
        return phase == JobPhase.COMPLETED;
    }

    /** A user cancels it. */
    public void requestCancellation() {
        advanceTo(CancellationPhase.REQUESTED);
    }

    /** The cancellation is durable. */
    public void markCancellationDurable() {
        advanceTo(CancellationPhase.DURABLE);
    }

    /** Enough controllers know of the cancellation. */
    public void markCancellationReplicated() {
        advanceTo(CancellationPhase.REPLICATED);
    }

    /** Users may hear of the cancellation. */
    public void markCancellationConfirmed() {
        advanceTo(CancellationPhase.CONFIRMED);
    }

    private void advanceTo(CancellationPhase next) {
        if (cancellation.compareTo(next) < 0) {
            cancellation = next;
        }
    }

    /** Whether a user has cancelled it, durably or not. */
    public boolean cancelled() {
        return cancellation != CancellationPhase.NONE;
    }

    public boolean cancellationDurable() {
        return cancellation.compareTo(CancellationPhase.DURABLE) >= 0;
    }

    /** Whether enough controllers know of the cancellation. */
    public boolean cancellationReplicated() {
        return cancellation.compareTo(CancellationPhase.REPLICATED) >= 0;
    }

    /** Whether users may hear of the cancellation. */
    public boolean cancellationConfirmed() {
        return cancellation == CancellationPhase.CONFIRMED;
    }

    /** A task of it was seen running, or has failed. */
    public void markStarted() {
        started = true;
    }

    /** Whether a task of it was seen running, has failed or has completed. */
    public boolean started() {
        return started;
    }

    // ---- completed tasks

    /** Takes in that a task has completed. */
    public void markTaskCompleted(int index) {
        completedOrAssigned.set(index);
        started = true;
        completedTasks.add(index);
    }

    /** The completed tasks; to add one use {@link #markTaskCompleted}. */
    public CompletedTasks completedTasks() {
        return completedTasks;
    }

    public int completedCount() {
        return completedTasks.count();
    }

    public int unfinishedCount() {
        return spec.taskCount() - completedTasks.count();
    }

    // ---- pending tasks

    /** The next pending task that may start now; -1: none. */
    public int nextPendingTask(long now) {
        if (!schedulable() || spec.isGang() && !gangSchedulable(now)) {
            return -1;
        }
        for (int index = nextUnassignedTask(0); index < spec.taskCount(); index = nextUnassignedTask(index + 1)) {
            if (failures.mayStart(index, now)) {
                return index;
            }
        }
        return -1;
    }

    /** The first task from this one on that is neither completed nor assigned; the task count or more: none. */
    public int nextUnassignedTask(int from) {
        return completedOrAssigned.nextClearBit(from);
    }

    private boolean schedulable() {
        return phase == JobPhase.ACCEPTED && !cancelled();
    }

    /** A gang starts whole: not while a task of it may be on a machine, or has to pause after a failure. */
    private boolean gangSchedulable(long now) {
        return assignments.isEmpty() && !failures.anyTaskPauses(now);
    }

    /** The number of pending tasks, including those that have to pause after a failure. */
    public int pendingCount() {
        return schedulable() ? spec.taskCount() - completedOrAssigned.cardinality() : 0;
    }

    // ---- assigned tasks

    /** The assignments that are not settled, by task. The view can't be changed. */
    public Map<Integer, TaskAssignment> assignments() {
        return assignmentsView;
    }

    /** Whether this assignment is not settled. */
    public boolean holds(TaskAssignment assignment) {
        return assignments.get(assignment.index()) == assignment;
    }

    /** Notes an assignment. Use {@link ClusterState#assign}, which also counts it on its machine and for its team. */
    public void addAssignment(TaskAssignment assignment) {
        assignments.put(assignment.index(), assignment);
        completedOrAssigned.set(assignment.index());
    }

    /** Settles an assignment. Use {@link ClusterState#unassign}, which also counts it out everywhere else. */
    public void removeAssignment(TaskAssignment assignment, boolean taskCompleted) {
        assignments.remove(assignment.index(), assignment);
        if (taskCompleted) {
            markTaskCompleted(assignment.index());
        } else {
            completedOrAssigned.clear(assignment.index());
        }
    }

    /** Whether all tasks are assigned under one attempt number. */
    public boolean assignmentsFormOneAttempt() {
        return assignments.size() == spec.taskCount()
                && assignments.values().stream()
                                .mapToLong(assignment -> assignment.attempt())
                                .distinct()
                                .count()
                        == 1;
    }

    /** Tasks that were last reported running. */
    public int runningCount() {
        int running = 0;
        for (TaskAssignment assignment : assignments.values()) {
            if (assignment.runningSince() != 0) {
                running++;
            }
        }
        return running;
    }

    /** Whether a task that was sent to a machine may start there without another command. */
    public boolean mayStartUnprompted() {
        for (TaskAssignment assignment : assignments.values()) {
            if (assignment.phase() == null || assignment.phase() == Heartbeat.TaskPhase.PULLING_IMAGE) {
                return true;
            }
        }
        return false;
    }

    /** The zones with assigned tasks; "" stands for machines whose zone is not known yet. The view can't be changed. */
    public Set<String> zones() {
        return zonesView;
    }

    public int tasksInZone(String zone) {
        return tasksInZone.getOrDefault(zone, 0);
    }

    void countInZone(String zone, int change) {
        tasksInZone.merge(zone, change, (before, added) -> before + added == 0 ? null : before + added);
    }

    /** How its tasks have fared. */
    public FailureHistory failures() {
        return failures;
    }

    // ---- marks of the scheduler

    /** Whether it fits into its team's quota together with the team's earlier jobs, as of the last pass. */
    public boolean withinQuota() {
        return withinQuota;
    }

    public void setWithinQuota(boolean withinQuota) {
        this.withinQuota = withinQuota;
    }

    /** Since when its tasks wait for capacity on machines that hold its image; 0: they never did. */
    public long heldBackSince() {
        return heldBackSince;
    }

    /** Its tasks wait from now on for capacity on machines that hold its image. */
    public void holdBack(long now) {
        heldBackSince = now;
    }
}
