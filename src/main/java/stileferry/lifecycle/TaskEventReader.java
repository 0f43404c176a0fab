package stileferry.lifecycle;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import stileferry.cluster.Job;
import stileferry.cluster.LastHeartbeatRecord;
import stileferry.cluster.TaskAssignment;
import stileferry.heartbeat.LastHeartbeatJournal;
import stileferry.storage.StoredEvent;

/**
 * Reads stored event records after a failover, in the order in which they were written. Events of jobs that are not
 * passed to the reader, because they have completed, are skipped.
 */
public final class TaskEventReader {
    private final Map<String, Job> jobs;

    /** In insertion order, so that runs with the same seed are identical. */
    private final Map<Job, Map<Integer, TaskAssignment>> assignments = new LinkedHashMap<>();

    private final Map<String, LastHeartbeatRecord> lastHeartbeats = new HashMap<>();

    /** Creates a reader for events of these jobs, by id, which also marks their completed tasks. */
    public TaskEventReader(Map<String, Job> jobs) {
        this.jobs = jobs;
    }

    /** Reads one record and returns its task events. */
    public List<StoredEvent> read(JsonNode record, long recordNumber) {
        List<StoredEvent> events = new ArrayList<>();
        for (JsonNode event : record.path("e")) {
            int kind = event.path(0).asInt(-1);
            if (!readHeartbeatEvent(kind, event)) {
                readTaskEvent(kind, event, recordNumber, events);
            }
        }
        return events;
    }

    /** Reads an event about the heartbeats of a machine; returns false if the event is of another kind. */
    private boolean readHeartbeatEvent(int kind, JsonNode event) {
        String machine = event.path(1).asText();
        if (kind == LastHeartbeatJournal.LAST_HEARTBEAT_EVENT) {
            lastHeartbeats.put(machine, LastHeartbeatRecord.read(event));
        } else if (kind == LastHeartbeatJournal.HEARTBEATS_RESUMED_EVENT) {
            lastHeartbeats.remove(machine);
        } else {
            return false;
        }
        return true;
    }

    private void readTaskEvent(int kind, JsonNode event, long recordNumber, List<StoredEvent> into) {
        Job job = jobs.get(event.path(1).asText());
        int index = event.path(2).asInt(-1);
        if (job == null || index < 0 || index >= job.spec().taskCount()) {
            return;
        }
        switch (kind) {
            case TaskEvents.ASSIGNED -> {
                long attempt = event.path(3).asLong();
                String machine = event.path(4).asText();
                long incarnation = event.path(5).asLong();
                into.add(restoreAssignment(job, index, attempt, machine, incarnation, recordNumber));
            }
            case TaskEvents.SETTLED ->
                into.add(restoreSettlement(job, index, event.path(3).asLong()));
            case TaskEvents.COMPLETED -> {
                int lastIndex = Math.min(event.path(3).asInt(), job.spec().taskCount() - 1);
                into.add(restoreCompletion(job, index, lastIndex, recordNumber));
            }
            default -> {}
        }
    }

    /**
     * Reads a record of the first storage format: one chunk of a job's tasks, with a bitmap of the completed ones and
     * the assignments.
     */
    public List<StoredEvent> readLegacyChunk(Job job, int chunk, JsonNode record, long recordNumber) {
        List<StoredEvent> events = new ArrayList<>();
        int firstIndex = chunk * job.legacyTasksPerChunk();
        String bitmap = record.path("done").asText();
        for (int bit = 0;
                bit < 4 * bitmap.length() && firstIndex + bit < job.spec().taskCount();
                bit++) {
            if (bitSet(bitmap, bit)) {
                events.add(restoreCompletion(job, firstIndex + bit, firstIndex + bit, recordNumber));
            }
        }
        for (JsonNode claim : record.path("claims")) {
            int index = claim.path(0).asInt(-1);
            if (index >= 0 && index < job.spec().taskCount()) {
                long attempt = claim.path(1).asLong();
                String machine = claim.path(2).asText();
                long incarnation = claim.path(3).asLong();
                events.add(restoreAssignment(job, index, attempt, machine, incarnation, recordNumber));
            }
        }
        return events;
    }

    /**
     * Returns whether a bit is set in a bitmap of two hexadecimal digits per byte, with the lowest bit of each byte
     * first.
     */
    private static boolean bitSet(String bitmap, int bit) {
        int highDigit = bit / 8 * 2;
        int digit = Character.digit(bitmap.charAt(bit % 8 < 4 ? highDigit + 1 : highDigit), 16);
        return (digit >> bit % 4 & 1) != 0;
    }

    private StoredEvent restoreAssignment(
            Job job, int index, long attempt, String machine, long incarnation, long recordNumber) {
        TaskAssignment assignment = new TaskAssignment(job, index, attempt, machine, incarnation, 0);
        assignment.markDurable();
        assignment.markStartSent(); // the former leader may have sent the start
        assignment.setRecordNumber(recordNumber);
        assignmentsOf(job).put(index, assignment);
        return new TaskEvents.Assigned(assignment);
    }

    private StoredEvent restoreSettlement(Job job, int index, long attempt) {
        TaskAssignment assignment = assignmentsOf(job).get(index);
        if (assignment != null && assignment.attempt() == attempt) {
            assignmentsOf(job).remove(index);
        }
        return new TaskEvents.Settled(job, index, attempt);
    }

    private StoredEvent restoreCompletion(Job job, int firstIndex, int lastIndex, long recordNumber) {
        for (int index = firstIndex; index <= lastIndex; index++) {
            job.markTaskCompleted(index);
            assignmentsOf(job).remove(index);
        }
        TaskEvents.Completed completed = new TaskEvents.Completed(job, firstIndex, lastIndex);
        completed.recordedIn(recordNumber);
        return completed;
    }

    private Map<Integer, TaskAssignment> assignmentsOf(Job job) {
        return assignments.computeIfAbsent(job, any -> new HashMap<>());
    }

    /** Returns the records of machines' last heartbeats that are still valid after all records read. */
    public Iterable<LastHeartbeatRecord> lastHeartbeats() {
        return lastHeartbeats.values();
    }

    /** Returns the assignments that are not settled after all records read. */
    public List<TaskAssignment> unsettledAssignments() {
        List<TaskAssignment> unsettled = new ArrayList<>();
        for (Map<Integer, TaskAssignment> jobAssignments : assignments.values()) {
            for (TaskAssignment assignment : jobAssignments.values()) {
                if (!assignment.job().completedTasks().contains(assignment.index())) {
                    unsettled.add(assignment);
                }
            }
        }
        return unsettled;
    }
}
