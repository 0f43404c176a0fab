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

/** Reads stored records, in the order in which they were written. */
public final class TaskEventReader {
    private final Map<String, Job> jobs;
    private final Map<Job, Map<Integer, TaskAssignment>> assignments = new LinkedHashMap<>(); // so that seeds repeat
    private final Map<String, LastHeartbeatRecord> lastHeartbeats = new HashMap<>();

    public TaskEventReader(Map<String, Job> jobs) {
        this.jobs = jobs;
    }

    /** Takes one record in and returns its events. */
    public List<StoredEvent> read(JsonNode record, long number) {
        List<StoredEvent> events = new ArrayList<>();
        for (JsonNode e : record.path("e")) {
            int kind = e.path(0).asInt(-1);
            if (readHeartbeatEvent(kind, e)) {
                continue;
            }
            Job job = jobs.get(e.path(1).asText());
            int index = e.path(2).asInt(-1);
            if (job == null || index < 0 || index >= job.spec().taskCount()) {
                continue; // the job is over
            }
            switch (kind) {
                case TaskEvents.CLAIMED ->
                    events.add(claim(
                            job,
                            index,
                            e.path(3).asLong(),
                            e.path(4).asText(),
                            e.path(5).asLong(),
                            number));
                case TaskEvents.FREED -> {
                    TaskAssignment claim = of(job).get(index);
                    if (claim != null && claim.attempt() == e.path(3).asLong()) {
                        of(job).remove(index);
                    }
                    events.add(new TaskEvents.Freed(job, index, e.path(3).asLong()));
                }
                case TaskEvents.DONE ->
                    events.add(done(
                            job, index, Math.min(e.path(3).asInt(), job.spec().taskCount() - 1), number));
                default -> {}
            }
        }
        return events;
    }

    /** Takes in an event about a machine's heartbeats; false if this is none. */
    private boolean readHeartbeatEvent(int kind, JsonNode event) {
        String machine = event.path(1).asText();
        if (kind == LastHeartbeatJournal.LAST_HEARTBEAT_EVENT) {
            lastHeartbeats.put(machine, LastHeartbeatRecord.read(event));
        } else if (kind == LastHeartbeatJournal.HEARD_AGAIN_EVENT) {
            lastHeartbeats.remove(machine);
        } else {
            return false;
        }
        return true;
    }

    /** Reads the older form: one part of a job's tasks, a bitmap of those done and the claims. */
    public List<StoredEvent> readLegacyChunk(Job job, int chunk, JsonNode v, long number) {
        List<StoredEvent> events = new ArrayList<>();
        int from = chunk * job.legacyChunkTasks();
        String hex = v.path("done").asText();
        for (int i = 0; i < 4 * hex.length() && from + i < job.spec().taskCount(); i++) {
            // two digits a byte, the lowest bit first
            int digit = Character.digit(hex.charAt(i / 8 * 2 + (i % 8 < 4 ? 1 : 0)), 16);
            if ((digit >> i % 4 & 1) != 0) {
                events.add(done(job, from + i, from + i, number));
            }
        }
        for (JsonNode c : v.path("claims")) {
            int index = c.path(0).asInt(-1);
            if (index >= 0 && index < job.spec().taskCount()) {
                events.add(claim(
                        job,
                        index,
                        c.path(1).asLong(),
                        c.path(2).asText(),
                        c.path(3).asLong(),
                        number));
            }
        }
        return events;
    }

    private StoredEvent claim(Job job, int index, long attempt, String machine, long session, long number) {
        TaskAssignment claim = new TaskAssignment(job, index, attempt, machine, session, 0);
        claim.setDurable(true);
        claim.setStartsSent(1);
        claim.setRecordNumber(number);
        of(job).put(index, claim);
        return new TaskEvents.Claimed(claim);
    }

    private StoredEvent done(Job job, int from, int to, long number) {
        for (int i = from; i <= to; i++) {
            job.markCompleted(i);
            of(job).remove(i);
        }
        TaskEvents.Done done = new TaskEvents.Done(job, from, to);
        done.recordedIn(number);
        return done;
    }

    private Map<Integer, TaskAssignment> of(Job job) {
        return assignments.computeIfAbsent(job, j -> new HashMap<>());
    }

    /** The silences of machines that stand after all records. */
    public Iterable<LastHeartbeatRecord> lastHeartbeats() {
        return lastHeartbeats.values();
    }

    /** The claims that stand after all records. */
    public List<TaskAssignment> assignments() {
        List<TaskAssignment> all = new ArrayList<>();
        assignments.values().forEach(of -> of.values().forEach(assignment -> {
            if (!assignment.job().completedTasks().get(assignment.index())) {
                all.add(assignment);
            }
        }));
        return all;
    }
}
