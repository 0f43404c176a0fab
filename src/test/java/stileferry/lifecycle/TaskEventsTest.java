package stileferry.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.cluster.Job;
import stileferry.cluster.TaskAssignment;
import stileferry.cluster.TestJob;
import stileferry.protocol.InvalidJobSpecException;
import stileferry.protocol.JobSpecBuilder;
import stileferry.protocol.MessageCodec;
import stileferry.storage.EventLog;

/** Checks that the stored task events, read back after any write, yield the state at that write. */
class TaskEventsTest {
    private static final double MAX_VALUE_KB = 8;
    private static final int SLOTS = 8;
    private static final int JOBS = 8;
    private static final int TASKS_PER_JOB = 60;

    private final Map<String, JsonNode> store = new HashMap<>();

    private static Map<String, Job> jobs(int count, int tasks) {
        Map<String, Job> jobs = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            Job job = TestJob.accepted(JobSpecBuilder.array(i).tasks(tasks).build(), i, 2);
            jobs.put(job.spec().id(), job);
        }
        return jobs;
    }

    private static JsonNode encodeAndDecode(JsonNode value) {
        return MessageCodec.decode(MessageCodec.encode(value));
    }

    /** Writes the next record of the log to the store. */
    private void write(EventLog log) {
        write(log.nextBatch(12), MAX_VALUE_KB);
    }

    private void write(EventLog.Batch batch, double limitKb) {
        JsonNode value = batch.put().value();
        assertTrue(
                value.toString().length() < limitKb * 1024,
                "record length: " + value.toString().length());
        store.put(batch.put().key(), encodeAndDecode(value));
        batch.deletions().forEach(entry -> store.remove(entry.key()));
    }

    /** Reads the records in the store, and restores the log from them unless it is null. */
    private TaskEventReader read(Map<String, Job> jobs, EventLog log) {
        TaskEventReader reader = new TaskEventReader(jobs);
        store.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith("l/"))
                .sorted(Map.Entry.comparingByKey())
                .forEach(entry -> reader.read(entry.getKey(), 1, entry.getValue()));
        reader.replay();
        if (log != null) {
            reader.restoreInto(log::restore);
        }
        return reader;
    }

    private static Map<String, Long> attempts(Iterable<TaskAssignment> assignments) {
        Map<String, Long> attempts = new TreeMap<>();
        assignments.forEach(assignment -> attempts.put(assignment.taskId(), assignment.attempt()));
        return attempts;
    }

    private static Map<String, Long> attempts(Map<String, Job> jobs) {
        List<TaskAssignment> assignments = new ArrayList<>();
        jobs.values().forEach(job -> assignments.addAll(job.assignments().values()));
        return attempts(assignments);
    }

    /** Jobs whose tasks are assigned and settled at random, with the events appended to a log. */
    private final class RandomHistory {
        final SplittableRandom random;
        Map<String, Job> jobs = jobs(JOBS, TASKS_PER_JOB);
        EventLog log;
        long attempt;

        RandomHistory(long seed, EventLog log) {
            this.random = new SplittableRandom(seed);
            this.log = log;
        }

        Job randomJob() {
            return jobs.get("job-" + random.nextInt(JOBS));
        }

        void assignTask(Job job) {
            attempt++;
            int index = job.nextUnassignedTask(random.nextInt(TASKS_PER_JOB));
            if (index < TASKS_PER_JOB) {
                TaskAssignment assignment = new TaskAssignment(job, index, attempt, "host-" + random.nextInt(20), 1, 0);
                job.addAssignment(assignment);
                log.append(TaskEvents.assigned(assignment), null);
            }
        }

        void settle(TaskAssignment assignment, boolean completed) {
            assignment.job().removeAssignment(assignment, completed);
            log.append(
                    completed
                            ? TaskEvents.completed(assignment.job(), assignment.index())
                            : TaskEvents.settled(assignment),
                    null);
        }

        TaskAssignment randomAssignment(Job job) {
            return job.assignments()
                    .get(job.assignments().keySet().stream()
                            .skip(random.nextInt(job.assignments().size()))
                            .findFirst()
                            .orElseThrow());
        }

        void writeAll() {
            while (log.hasPending()) {
                write(log);
            }
        }

        /** Continues as a new leader with the state that it has read. */
        void failOver(Map<String, Job> restoredJobs, TaskEventReader reader, EventLog nextLog) {
            reader.unsettledAssignments().forEach(assignment -> assignment.job().addAssignment(assignment));
            jobs = restoredJobs;
            log = nextLog;
        }
    }

    /**
     * A small ring is overwritten many times; at random moments its records are read back, or a new leader takes over.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void ringHoldsTheWholeStateAfterEveryWrite(long seed) {
        RandomHistory history = new RandomHistory(seed, new EventLog(MAX_VALUE_KB, SLOTS, "t"));
        for (int step = 0; step < 3000; step++) {
            Job job = history.randomJob();
            if (job.assignments().isEmpty() || history.random.nextInt(5) < 2) {
                history.assignTask(job);
            } else {
                TaskAssignment oldest = job.assignments().values().iterator().next();
                history.settle(oldest, history.random.nextInt(4) == 0);
            }
            if (history.random.nextInt(3) == 0) {
                history.writeAll();
                restoreAndCheck(history, step);
            }
        }
        assertEquals(SLOTS, store.size());
    }

    private void restoreAndCheck(RandomHistory history, int step) {
        Map<String, Job> restoredJobs = jobs(JOBS, TASKS_PER_JOB);
        EventLog nextLog = history.random.nextInt(50) == 0 ? new EventLog(MAX_VALUE_KB, SLOTS, "t") : null;
        if (nextLog != null && history.random.nextBoolean()) {
            loseSecondToLastRecord(history.log);
        }
        TaskEventReader reader = read(restoredJobs, nextLog);
        assertEquals(attempts(history.jobs), attempts(reader.unsettledAssignments()), "at step " + step);
        for (Job job : history.jobs.values()) {
            assertEquals(
                    job.completedTasks().indexes(),
                    restoredJobs.get(job.spec().id()).completedTasks().indexes(),
                    "at step " + step);
        }
        if (nextLog != null) {
            history.failOver(restoredJobs, reader, nextLog);
        }
    }

    /** Loses the second-to-last record of the old leader, so that its slot keeps its previous content. */
    private void loseSecondToLastRecord(EventLog log) {
        EventLog.Batch lost = log.nextBatch(12);
        assertTrue(lost.deletions().isEmpty());
        EventLog.Batch last = log.nextBatch(12);
        if (!last.discardsTombstones()) { // otherwise it waits until the previous record is durable
            store.put(last.put().key(), encodeAndDecode(last.put().value()));
        }
    }

    /**
     * Leaders of the previous version, which use a higher value limit, alternate with leaders that use the announced
     * lower limit. No leader with the lower limit may write a larger value, whatever it finds, and the store must hold
     * the whole state after every write.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void recordsAreRewrittenWithinALoweredLimit(long seed) {
        RandomHistory history = new RandomHistory(seed, limitedLog(false, ""));
        boolean lowLimit = false;
        int overflowRecords = 0;
        for (int step = 0; step < 4000; step++) {
            int phase = step % 1000;
            // many tasks at once, most of which stay assigned while the ring is overwritten
            boolean manyTasks = phase < 500;
            Job job = history.randomJob();
            if (job.assignments().size() < (manyTasks ? 55 : 40)) {
                history.assignTask(job);
            } else {
                history.settle(history.randomAssignment(job), false);
            }
            boolean limitChanges = phase == 499 || phase == 950;
            if (!limitChanges && history.random.nextInt(manyTasks ? 300 : 3) != 0) {
                continue;
            }
            overflowRecords += writeAllWithinLimit(lowLimit, history, step);
            if (limitChanges || history.random.nextInt(60) == 0) {
                lowLimit = limitChanges ? phase == 499 : lowLimit;
                Map<String, Job> restoredJobs = jobs(JOBS, TASKS_PER_JOB);
                EventLog nextLog = limitedLog(lowLimit, step + "-");
                history.failOver(restoredJobs, read(restoredJobs, nextLog), nextLog);
            }
        }
        assertTrue(overflowRecords > 0, "no record was too large");
    }

    private static double limitKb(boolean lowLimit) {
        return lowLimit ? 2 : 16;
    }

    private static EventLog limitedLog(boolean lowLimit, String term) {
        return new EventLog(limitKb(lowLimit), 64, "t" + term);
    }

    /** Writes all pending events, checks what is stored, and returns the number of overflow records. */
    private int writeAllWithinLimit(boolean lowLimit, RandomHistory history, int step) {
        int overflowRecords = 0;
        while (history.log.hasPending()) {
            EventLog.Batch batch = history.log.nextBatch(4);
            assertTrue(batch.deletions().size() < 4);
            overflowRecords += batch.put().key().startsWith("l/x") ? 1 : 0;
            write(batch, limitKb(lowLimit));
            Map<String, Long> stored =
                    attempts(read(jobs(JOBS, TASKS_PER_JOB), null).unsettledAssignments());
            if (!history.log.hasPending()) {
                assertEquals(attempts(history.jobs), stored, "at step " + step);
            }
        }
        return overflowRecords;
    }

    /** The largest possible job fits into the ring, with all tasks assigned at once and half of them completed. */
    @Test
    void ringHoldsAJobOfAHundredThousandTasks() {
        Job job = jobs(1, 100_000).get("job-0");
        EventLog log = new EventLog(MAX_VALUE_KB, 1024, "t");
        for (int i = 0; i < 100_000; i++) {
            TaskAssignment assignment = new TaskAssignment(job, i, (1L << 40) + i, "host-123456", 100, 0);
            job.addAssignment(assignment);
            log.append(TaskEvents.assigned(assignment), null);
        }
        for (int i = 0; i < 100_000; i += 2) {
            job.removeAssignment(job.assignments().get(i), true);
            log.append(TaskEvents.completed(job, i), null);
        }
        int writes = 0;
        while (log.hasPending()) {
            write(log);
            assertTrue(++writes < 4000, "the log keeps writing the same events");
        }
        Map<String, Job> restoredJobs = jobs(1, 100_000);
        TaskEventReader reader = read(restoredJobs, null);
        assertEquals(50_000, reader.unsettledAssignments().size());
        assertEquals(
                job.completedTasks().indexes(),
                restoredJobs.get("job-0").completedTasks().indexes());
    }

    /** Returns a job in its legacy stored form, with chunks of 128 tasks. */
    private static Job jobWithLegacyChunks(int tasks) throws InvalidJobSpecException {
        ObjectNode stored = MessageCodec.map().put("order", 0).put("at", 2).put("chunk", 128);
        stored.set("spec", JobSpecBuilder.array(0).tasks(tasks).build().write());
        return Job.read(stored, 0);
    }

    /**
     * Records of the first version hold one chunk of a job's tasks each, with a hexadecimal bitmap of completed tasks
     * and the assignments.
     */
    @Test
    void legacyRecordsAreReadAndReplaced() throws InvalidJobSpecException {
        Job job = jobWithLegacyChunks(200);
        assertEquals(128, job.legacyTasksPerChunk());
        ObjectNode chunk = MessageCodec.map().put("done", "0184"); // tasks 0, 10 and 15 of this chunk
        ArrayNode claims = chunk.putArray("claims");
        for (int i = 16; i < 60; i++) {
            claims.addArray().add(128 + i).add(7L << 32).add("host-000001").add(3);
        }
        EventLog log = new EventLog(MAX_VALUE_KB, SLOTS, "t");
        TaskEventReader reader = new TaskEventReader(Map.of("job-0", job));
        store.put("c/job-0/1", chunk);
        reader.readLegacyChunk("c/job-0/1", 5, chunk);
        reader.replay();
        reader.restoreInto(log::restore);
        assertEquals("{128, 138, 143}", job.completedTasks().indexes().toString());
        assertEquals(44, reader.unsettledAssignments().size());
        reader.unsettledAssignments().forEach(job::addAssignment);
        while (log.hasPending()) {
            write(log);
        }
        assertEquals(1, store.size(), "the legacy record should be gone: " + store.keySet());
        Map<String, Job> restoredJobs = jobs(1, 200);
        assertEquals(
                attempts(job.assignments().values()),
                attempts(read(restoredJobs, null).unsettledAssignments()));
        assertEquals(
                job.completedTasks().indexes(),
                restoredJobs.get("job-0").completedTasks().indexes());
    }

    @Test
    void gangIsPendingOnlyWhileNoneOfItsTasksIsAssigned() {
        Job job = TestJob.accepted(JobSpecBuilder.gang(1).tasks(3).build(), 1, 2);
        assertEquals(0, job.nextPendingTask(0));
        job.addAssignment(new TaskAssignment(job, 1, 1, "m", 1, 0));
        assertEquals(-1, job.nextPendingTask(0), "a gang starts as a whole or not at all");
    }
}
