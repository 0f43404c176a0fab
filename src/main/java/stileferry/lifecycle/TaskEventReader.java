package stileferry.lifecycle;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import stileferry.cluster.Job;
import stileferry.cluster.LastHeartbeatRecord;
import stileferry.cluster.TaskAssignment;
import stileferry.heartbeat.LastHeartbeatJournal;
import stileferry.storage.StoredEvent;

/**
 * Reads stored event records after a failover and replays them in the order in which they were written. Records are
 * decoded as they are read, and only what is still needed after the replay becomes part of the leader's state. Events
 * of jobs that are not passed to the reader, because they have completed, are skipped.
 */
public final class TaskEventReader {
    private static final String NUMBER = "n";
    private static final String EVENTS = "e";

    private final Map<String, Job> jobs;
    private final Map<String, String> machineNames = new HashMap<>();
    private final List<DecodedRecord> legacyRecords = new ArrayList<>();
    private final List<DecodedRecord> records = new ArrayList<>();

    /** In insertion order, so that runs with the same seed are identical. */
    private final Map<Job, Map<Integer, Assigned>> assignments = new LinkedHashMap<>();

    private final Map<String, LastHeartbeatRecord> lastHeartbeats = new HashMap<>();

    /** Receives the records after the replay; implemented by the event log. */
    public interface RecordRestorer {
        /** Called for each record, with those of its events that are still needed. */
        void restore(String key, long revision, long number, List<StoredEvent> events);
    }

    /** A record whose events have been decoded and wait for the replay. */
    private record DecodedRecord(String key, long revision, long number, List<Decoded> events) {}

    /** An event in compact form. */
    private sealed interface Decoded permits Assigned, Settled, Completed, MachineHeard {}

    private static final class Assigned implements Decoded {
        final Job job;
        final int index;
        final long attempt;
        final String machine;
        final long incarnation;

        /** Null unless the assignment is not settled after the replay. */
        TaskAssignment unsettled;

        Assigned(Job job, int index, long attempt, String machine, long incarnation) {
            this.job = job;
            this.index = index;
            this.attempt = attempt;
            this.machine = machine;
            this.incarnation = incarnation;
        }
    }

    private record Settled(Job job, int index, long attempt) implements Decoded {}

    private record Completed(Job job, int firstIndex, int lastIndex) implements Decoded {}

    /** The last heartbeat of a machine, or null if the machine has resumed its heartbeats. */
    private record MachineHeard(String machine, LastHeartbeatRecord lastHeartbeat) implements Decoded {}

    /** Creates a reader for events of these jobs, by id, which also marks their completed tasks. */
    public TaskEventReader(Map<String, Job> jobs) {
        this.jobs = jobs;
    }

    // ---- decoding

    /** Reads a record of the event log; records may be read in any order. */
    public void read(String key, long revision, JsonNode record) {
        List<Decoded> events = new ArrayList<>();
        for (JsonNode event : record.path(EVENTS)) {
            Decoded decoded = decode(event);
            if (decoded != null) {
                events.add(decoded);
            }
        }
        long number = record.path(NUMBER).asLong();
        records.add(new DecodedRecord(key, revision, number, events));
    }

    /** Returns an event in compact form, or null if it is of an unknown kind or its job has completed. */
    private Decoded decode(JsonNode event) {
        int kind = event.path(0).asInt(-1);
        return switch (kind) {
            case LastHeartbeatJournal.LAST_HEARTBEAT_EVENT ->
                new MachineHeard(event.path(1).asText(), LastHeartbeatRecord.read(event));
            case LastHeartbeatJournal.HEARTBEATS_RESUMED_EVENT ->
                new MachineHeard(event.path(1).asText(), null);
            default -> decodeTaskEvent(kind, event);
        };
    }

    private Decoded decodeTaskEvent(int kind, JsonNode event) {
        Job job = jobs.get(event.path(1).asText());
        int index = event.path(2).asInt(-1);
        if (job == null || index < 0 || index >= job.spec().taskCount()) {
            return null;
        }
        return switch (kind) {
            case TaskEvents.ASSIGNED ->
                new Assigned(
                        job,
                        index,
                        event.path(3).asLong(),
                        shared(event.path(4).asText()),
                        event.path(5).asLong());
            case TaskEvents.SETTLED -> new Settled(job, index, event.path(3).asLong());
            case TaskEvents.COMPLETED ->
                new Completed(
                        job, index, Math.min(event.path(3).asInt(), job.spec().taskCount() - 1));
            default -> null;
        };
    }

    /** Returns the one copy of a machine's name that all of its events share. */
    private String shared(String machine) {
        return machineNames.computeIfAbsent(machine, name -> name);
    }

    /**
     * Reads a record of the first storage format: one chunk of a job's tasks, with a bitmap of the completed ones and
     * the assignments. A chunk of a job that has ended has no events, so nothing of it is retained.
     *
     * @param key the prefix of such records, the job's id and the number of the chunk
     */
    public void readLegacyChunk(String key, long revision, JsonNode record) {
        String[] keyParts = key.split("/");
        Job job = keyParts.length == 3 ? jobs.get(keyParts[1]) : null;
        List<Decoded> events = new ArrayList<>();
        if (job != null) {
            int firstIndex = Integer.parseInt(keyParts[2]) * job.legacyTasksPerChunk();
            decodeBitmap(job, firstIndex, record.path("done").asText(), events);
            decodeClaims(job, record.path("claims"), events);
        }
        legacyRecords.add(new DecodedRecord(key, revision, -1 - legacyRecords.size(), events));
    }

    private static void decodeBitmap(Job job, int firstIndex, String bitmap, List<Decoded> into) {
        for (int bit = 0;
                bit < 4 * bitmap.length() && firstIndex + bit < job.spec().taskCount();
                bit++) {
            if (bitSet(bitmap, bit)) {
                into.add(new Completed(job, firstIndex + bit, firstIndex + bit));
            }
        }
    }

    private void decodeClaims(Job job, JsonNode claims, List<Decoded> into) {
        for (JsonNode claim : claims) {
            int index = claim.path(0).asInt(-1);
            if (index >= 0 && index < job.spec().taskCount()) {
                long attempt = claim.path(1).asLong();
                String machine = shared(claim.path(2).asText());
                into.add(
                        new Assigned(job, index, attempt, machine, claim.path(3).asLong()));
            }
        }
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

    // ---- replay

    /** Replays all records that were read, in the order in which they were written; called once. */
    public void replay() {
        replaySteps().forEach(Runnable::run);
    }

    /** Returns the steps of {@link #replay}; each must be carried out before the next one is requested. */
    public Stream<Runnable> replaySteps() {
        records.sort(Comparator.comparingLong(DecodedRecord::number));
        Stream<Runnable> recordSteps =
                Stream.concat(legacyRecords.stream(), records.stream()).map(record -> () -> replay(record));
        Stream<Runnable> jobSteps =
                Stream.of(assignments).flatMap(all -> all.values().stream()).map(job -> () -> restoreUnsettled(job));
        return Stream.concat(recordSteps, jobSteps);
    }

    private static void restoreUnsettled(Map<Integer, Assigned> jobAssignments) {
        for (Assigned assigned : jobAssignments.values()) {
            if (!assigned.job.completedTasks().contains(assigned.index)) {
                assigned.unsettled = restoreAssignment(assigned);
            }
        }
    }

    private void replay(DecodedRecord record) {
        for (Decoded event : record.events) {
            if (event instanceof Assigned assigned) {
                assignmentsOf(assigned.job).put(assigned.index, assigned);
            } else if (event instanceof Settled settled) {
                replay(settled);
            } else if (event instanceof Completed completed) {
                replay(completed, record.number);
            } else if (event instanceof MachineHeard heard) {
                replay(heard);
            }
        }
    }

    private void replay(Settled settled) {
        Map<Integer, Assigned> jobAssignments = assignmentsOf(settled.job);
        Assigned assigned = jobAssignments.get(settled.index);
        if (assigned != null && assigned.attempt == settled.attempt) {
            jobAssignments.remove(settled.index);
        }
    }

    private void replay(Completed completed, long recordNumber) {
        Job job = completed.job;
        for (int index = completed.firstIndex; index <= completed.lastIndex; index++) {
            job.markTaskCompleted(index);
            assignmentsOf(job).remove(index);
        }
        storedEvent(completed).recordedIn(recordNumber);
    }

    private void replay(MachineHeard heard) {
        if (heard.lastHeartbeat == null) {
            lastHeartbeats.remove(heard.machine);
        } else {
            lastHeartbeats.put(heard.machine, heard.lastHeartbeat);
        }
    }

    private static TaskAssignment restoreAssignment(Assigned assigned) {
        TaskAssignment assignment = new TaskAssignment(
                assigned.job, assigned.index, assigned.attempt, assigned.machine, assigned.incarnation, 0);
        assignment.markDurable();
        assignment.markStartSent(); // the former leader may have sent the start
        return assignment;
    }

    private static StoredEvent storedEvent(Completed completed) {
        return new TaskEvents.Completed(completed.job, completed.firstIndex, completed.lastIndex);
    }

    private Map<Integer, Assigned> assignmentsOf(Job job) {
        return assignments.computeIfAbsent(job, any -> new HashMap<>());
    }

    // ---- results

    /** Passes on all records in the order in which they were written, and releases them; called once. */
    public void restoreInto(RecordRestorer restorer) {
        restoreSteps(restorer).forEach(Runnable::run);
    }

    /** Returns the steps of {@link #restoreInto}; each must be carried out before the next one is requested. */
    public Stream<Runnable> restoreSteps(RecordRestorer restorer) {
        return Stream.concat(restoreSteps(restorer, legacyRecords), restoreSteps(restorer, records));
    }

    private static Stream<Runnable> restoreSteps(RecordRestorer restorer, List<DecodedRecord> records) {
        return IntStream.range(0, records.size()).mapToObj(i -> () -> {
            DecodedRecord record = records.set(i, null);
            restorer.restore(record.key, record.revision, record.number, neededEvents(record));
        });
    }

    /**
     * Returns the events that have to be written again when their record is overwritten, and one of its tombstones: it
     * marks the record as one that may not be overwritten before all older ones.
     */
    private static List<StoredEvent> neededEvents(DecodedRecord record) {
        List<StoredEvent> needed = new ArrayList<>();
        boolean hasTombstone = false;
        for (Decoded event : record.events) {
            if (event instanceof Assigned assigned && assigned.unsettled != null) {
                assigned.unsettled.setRecordNumber(record.number);
                needed.add(new TaskEvents.Assigned(assigned.unsettled));
            } else if (event instanceof Settled settled && !hasTombstone) {
                hasTombstone = true;
                needed.add(new TaskEvents.Settled(settled.job, settled.index, settled.attempt));
            } else if (event instanceof Completed completed
                    && storedEvent(completed).retainedFrom(record.number) != null) {
                needed.add(storedEvent(completed));
            }
        }
        return needed;
    }

    /** Returns the records of machines' last heartbeats that are still valid after all records read. */
    public Iterable<LastHeartbeatRecord> lastHeartbeats() {
        return lastHeartbeats.values();
    }

    /** Returns the assignments that are not settled after the replay. */
    public List<TaskAssignment> unsettledAssignments() {
        List<TaskAssignment> unsettled = new ArrayList<>();
        for (Map<Integer, Assigned> jobAssignments : assignments.values()) {
            for (Assigned assigned : jobAssignments.values()) {
                if (assigned.unsettled != null) {
                    unsettled.add(assigned.unsettled);
                }
            }
        }
        return unsettled;
    }
}
