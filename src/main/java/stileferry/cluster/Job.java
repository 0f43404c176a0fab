package stileferry.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.InvalidJobSpecException;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.storage.StoredEntry;

/**
 * A job that is not completed, and the state of its tasks as far as the leader knows it. Tasks are numbered from 0. A
 * task is pending, assigned to a machine, or completed. Times are milliseconds on the controller's steady clock, unless
 * they are documented as wall-clock times.
 */
public final class Job {
    public static final String KEY_PREFIX = "j/";

    /**
     * Orders jobs by precedence: those of higher priority first, and with the same priority those within their quota.
     * Capacity that is reserved for a job is kept from jobs that come later in this order.
     */
    public static final Comparator<Job> BY_PRECEDENCE = Comparator.<Job, JobSpec.Priority>comparing(
                    job -> job.spec.priority())
            .thenComparing(job -> !job.withinQuota);

    private static final String COMPLETED_KEY_PREFIX = "e/";

    private final JobSpec spec;
    private final long submissionOrder;
    private final long submittedAt;
    private final StoredEntry entry;

    private JobPhase phase = JobPhase.SUBMITTED;
    private CancellationPhase cancellation = CancellationPhase.NONE;
    private boolean started;

    private final CompletedTasks completedTasks;
    private final BitSet completedOrAssigned = new BitSet();

    /** The number of tasks per chunk in the legacy storage format; 1 for jobs that were not stored in chunks. */
    private int legacyTasksPerChunk = 1;

    private final Map<Integer, TaskAssignment> assignments = new HashMap<>();
    private final Map<Integer, TaskAssignment> assignmentsView = Collections.unmodifiableMap(assignments);
    private final Map<String, Integer> tasksInZone = new HashMap<>();
    private final Set<String> zonesWithTasksView = Collections.unmodifiableSet(tasksInZone.keySet());

    private final FailureHistory failureHistory = new FailureHistory();

    private boolean withinQuota;
    private long localityDelaySince;

    /**
     * Creates a submitted job.
     *
     * @param submissionOrder its position in the order of submissions
     * @param submittedAt the wall-clock time of its submission, in milliseconds since the epoch
     * @param revision the revision of its stored record, or 0 if it is not stored
     */
    public Job(JobSpec spec, long submissionOrder, long submittedAt, long revision) {
        this.spec = spec;
        this.submissionOrder = submissionOrder;
        this.submittedAt = submittedAt;
        this.completedTasks = new CompletedTasks(spec.taskCount());
        this.entry = new StoredEntry(key(spec.id()), revision, this::write).requireAbsent(completedKey(spec.id()));
    }

    // ---- stored record

    public static String key(String id) {
        return KEY_PREFIX + id;
    }

    /** Returns the key under which the completion of the job is stored. */
    public static String completedKey(String id) {
        return COMPLETED_KEY_PREFIX + id;
    }

    /**
     * Reads a job from its stored record. The job is accepted, and if it is cancelled, its cancellation is durable.
     *
     * @throws InvalidJobSpecException if the stored job specification can't be read
     */
    public static Job read(JsonNode value, long revision) throws InvalidJobSpecException {
        Job job = new Job(
                JobSpec.read(value.path("spec")),
                value.path("order").asLong(),
                value.path("at").asLong(),
                revision);
        job.legacyTasksPerChunk = Math.max(1, value.path("chunk").asInt(1));
        job.markAccepted();
        if (value.path("cancelled").asBoolean()) {
            job.markCancellationDurable();
        }
        return job;
    }

    private ObjectNode write() {
        ObjectNode value = MessageCodec.map()
                .put("order", submissionOrder)
                .put("at", submittedAt)
                .put("cancelled", cancelled());
        if (legacyTasksPerChunk > 1) {
            value.put("chunk", legacyTasksPerChunk);
        }
        value.set("spec", spec.write());
        return value;
    }

    /** Returns the store entry of the job, which exists while the job is not completed. */
    public StoredEntry entry() {
        return entry;
    }

    public JobSpec spec() {
        return spec;
    }

    public long submissionOrder() {
        return submissionOrder;
    }

    /** Returns the wall-clock time of the submission, in milliseconds since the epoch. */
    public long submittedAt() {
        return submittedAt;
    }

    /**
     * Returns the number of tasks per chunk in the legacy storage format, or 1 for jobs that were not stored in chunks.
     */
    public int legacyTasksPerChunk() {
        return legacyTasksPerChunk;
    }

    // ---- phases

    /** Records that the job's stored record is durable. */
    public void markAccepted() {
        advanceTo(JobPhase.ACCEPTED);
    }

    /** Records that all tasks are settled and the job's completion is about to be stored. */
    public void markCompleting() {
        advanceTo(JobPhase.COMPLETING);
    }

    /** Records that the job's completion is durable. */
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

    /** Returns whether the job's completion is durable. */
    public boolean completed() {
        return phase == JobPhase.COMPLETED;
    }

    /** Records that a user has requested the cancellation of the job. */
    public void requestCancellation() {
        advanceTo(CancellationPhase.REQUESTED);
    }

    /** Records that the cancellation is durable. */
    public void markCancellationDurable() {
        advanceTo(CancellationPhase.DURABLE);
    }

    /** Records that enough controllers know about the cancellation. */
    public void markCancellationReplicated() {
        advanceTo(CancellationPhase.REPLICATED);
    }

    /** Records that the cancellation may be reported to users. */
    public void markCancellationConfirmed() {
        advanceTo(CancellationPhase.CONFIRMED);
    }

    private void advanceTo(CancellationPhase next) {
        if (cancellation.compareTo(next) < 0) {
            cancellation = next;
        }
    }

    /** Returns whether a user has cancelled the job, even if the cancellation is not durable yet. */
    public boolean cancelled() {
        return cancellation != CancellationPhase.NONE;
    }

    public boolean cancellationDurable() {
        return cancellation.compareTo(CancellationPhase.DURABLE) >= 0;
    }

    /** Returns whether enough controllers know about the cancellation. */
    public boolean cancellationReplicated() {
        return cancellation.compareTo(CancellationPhase.REPLICATED) >= 0;
    }

    /** Returns whether the cancellation may be reported to users. */
    public boolean cancellationConfirmed() {
        return cancellation == CancellationPhase.CONFIRMED;
    }

    /** Records that a task of the job was reported running, or has ended as completed or failed. */
    public void markStarted() {
        started = true;
    }

    /** Returns whether a task of the job was reported running, has failed or has completed. */
    public boolean started() {
        return started;
    }

    // ---- completed tasks

    /** Records that a task has completed. */
    public void markTaskCompleted(int index) {
        completedOrAssigned.set(index);
        started = true;
        completedTasks.add(index);
    }

    /** Returns the completed tasks; use {@link #markTaskCompleted} to add one. */
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

    /** Returns the index of the next pending task that may start now, or -1 if there is none. */
    public int nextPendingTask(long now) {
        if (!schedulable() || spec.isGang() && !gangSchedulable(now)) {
            return -1;
        }
        for (int index = nextUnassignedTask(0); index < spec.taskCount(); index = nextUnassignedTask(index + 1)) {
            if (failureHistory.mayStart(index, now)) {
                return index;
            }
        }
        return -1;
    }

    /**
     * Returns the index of the first task at or after {@code from} that is neither completed nor assigned; an index
     * that is not below the task count if there is none.
     */
    public int nextUnassignedTask(int from) {
        return completedOrAssigned.nextClearBit(from);
    }

    private boolean schedulable() {
        return phase == JobPhase.ACCEPTED && !cancelled();
    }

    /**
     * Returns whether all tasks of a gang may start together: none may be on a machine or in back-off after a failure.
     */
    private boolean gangSchedulable(long now) {
        return assignments.isEmpty() && !failureHistory.anyTaskBackingOff(now);
    }

    /** Returns the number of pending tasks, including those in back-off after a failure. */
    public int pendingCount() {
        return schedulable() ? spec.taskCount() - completedOrAssigned.cardinality() : 0;
    }

    // ---- assigned tasks

    /** Returns an unmodifiable view of the assignments that are not settled, by task index. */
    public Map<Integer, TaskAssignment> assignments() {
        return assignmentsView;
    }

    /** Returns whether this assignment belongs to the job and is not settled. */
    public boolean hasUnsettled(TaskAssignment assignment) {
        return assignments.get(assignment.index()) == assignment;
    }

    /** Adds an assignment. Use {@link ClusterState#assign} instead, which also updates its machine and team. */
    public void addAssignment(TaskAssignment assignment) {
        assignments.put(assignment.index(), assignment);
        completedOrAssigned.set(assignment.index());
    }

    /** Settles an assignment. Use {@link ClusterState#unassign} instead, which also updates its machine and team. */
    public void removeAssignment(TaskAssignment assignment, boolean taskCompleted) {
        assignments.remove(assignment.index(), assignment);
        if (taskCompleted) {
            markTaskCompleted(assignment.index());
        } else {
            completedOrAssigned.clear(assignment.index());
        }
    }

    /** Returns whether all tasks are assigned, with the same attempt number. */
    public boolean allTasksAssignedInOneAttempt() {
        return assignments.size() == spec.taskCount()
                && assignments.values().stream()
                                .mapToLong(assignment -> assignment.attempt())
                                .distinct()
                                .count()
                        == 1;
    }

    /** Returns the number of assigned tasks that have been reported running. */
    public int runningCount() {
        int running = 0;
        for (TaskAssignment assignment : assignments.values()) {
            if (assignment.runningSince() != 0) {
                running++;
            }
        }
        return running;
    }

    /**
     * Returns whether a task may still start without another command, because its machine has not reported it yet or is
     * pulling its image.
     */
    public boolean mayStartWithoutFurtherCommand() {
        for (TaskAssignment assignment : assignments.values()) {
            if (assignment.phase() == null || assignment.phase() == Heartbeat.TaskPhase.PULLING_IMAGE) {
                return true;
            }
        }
        return false;
    }

    /** Returns an unmodifiable view of the zones with assigned tasks; "" represents machines whose zone is unknown. */
    public Set<String> zonesWithTasks() {
        return zonesWithTasksView;
    }

    public int tasksInZone(String zone) {
        return tasksInZone.getOrDefault(zone, 0);
    }

    void adjustTasksInZone(String zone, int change) {
        tasksInZone.merge(zone, change, (before, added) -> before + added == 0 ? null : before + added);
    }

    /** Returns the history of successes and failures of the job's tasks. */
    public FailureHistory failureHistory() {
        return failureHistory;
    }

    // ---- scheduler state

    /** Returns whether the job and its team's earlier jobs together fit the team's quota, as of the last pass. */
    public boolean withinQuota() {
        return withinQuota;
    }

    public void setWithinQuota(boolean withinQuota) {
        this.withinQuota = withinQuota;
    }

    /** Returns when the job last began to wait for capacity on machines that have its image, or 0 if it never did. */
    public long localityDelaySince() {
        return localityDelaySince;
    }

    /** Records that the job's tasks wait from now on for capacity on machines that have its image. */
    public void startLocalityDelay(long now) {
        localityDelaySince = now;
    }
}
