package stileferry.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
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
import stileferry.storage.StoredEvent;

/** What is stored of tasks, read again after any write, tells the state at that write. */
class TaskEventsTest {
    private static final double VALUE_KB = 8;
    private static final int SLOTS = 8;
    private static final int JOBS = 8;
    private static final int TASKS = 60;

    private final Map<String, JsonNode> store = new HashMap<>();

    private static Map<String, Job> jobs(int count, int tasks) {
        Map<String, Job> jobs = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            Job job = TestJob.accepted(JobSpecBuilder.array(i).tasks(tasks).build(), i, 2);
            jobs.put(job.spec().id(), job);
        }
        return jobs;
    }

    private static JsonNode encodedAndDecoded(JsonNode value) {
        return MessageCodec.decode(MessageCodec.encode(value));
    }

    /** Writes one record of the log into the store. */
    private void write(EventLog log) {
        write(log.nextBatch(12), VALUE_KB);
    }

    private void write(EventLog.Batch batch, double limitKb) {
        JsonNode value = batch.put().value();
        assertTrue(
                value.toString().length() < limitKb * 1024,
                "a record of " + value.toString().length());
        store.put(batch.put().key(), encodedAndDecoded(value));
        batch.deletions().forEach(entry -> store.remove(entry.key()));
    }

    /** Reads the store's records; the log, unless it is null, goes on from them. */
    private TaskEventReader read(Map<String, Job> jobs, EventLog log) {
        TaskEventReader reader = new TaskEventReader(jobs);
        store.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith("l/"))
                .sorted(Comparator.comparingLong(
                        entry -> entry.getValue().path("n").asLong()))
                .forEach(entry -> {
                    long number = entry.getValue().path("n").asLong();
                    List<StoredEvent> events = reader.read(entry.getValue(), number);
                    if (log != null) {
                        log.restore(entry.getKey(), 1, number, events);
                    }
                });
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

    /** Jobs whose tasks are assigned and settled at random, while the log of that is written. */
    private final class RandomHistory {
        final SplittableRandom random;
        Map<String, Job> jobs = jobs(JOBS, TASKS);
        EventLog log;
        long attempt;

        RandomHistory(long seed, EventLog log) {
            this.random = new SplittableRandom(seed);
            this.log = log;
        }

        Job anyJob() {
            return jobs.get("job-" + random.nextInt(JOBS));
        }

        void assignOne(Job job) {
            attempt++;
            int index = job.nextUnassignedTask(random.nextInt(TASKS));
            if (index < TASKS) {
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

        TaskAssignment anyAssignment(Job job) {
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

        /** A new leader goes on with what it has read. */
        void failOver(Map<String, Job> readJobs, TaskEventReader reader, EventLog next) {
            reader.assignments().forEach(assignment -> assignment.job().addAssignment(assignment));
            jobs = readJobs;
            log = next;
        }
    }

    /** A small ring that goes round many times, read again and taken over at random moments. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void theRingAlwaysTellsTheWholeState(long seed) {
        RandomHistory history = new RandomHistory(seed, new EventLog(VALUE_KB, SLOTS, "t"));
        for (int step = 0; step < 3000; step++) {
            Job job = history.anyJob();
            if (job.assignments().isEmpty() || history.random.nextInt(5) < 2) {
                history.assignOne(job);
            } else {
                TaskAssignment oldest = job.assignments().values().iterator().next();
                history.settle(oldest, history.random.nextInt(4) == 0);
            }
            if (history.random.nextInt(3) == 0) {
                history.writeAll();
                readAgain(history, step);
            }
        }
        assertEquals(SLOTS, store.size());
    }

    private void readAgain(RandomHistory history, int step) {
        Map<String, Job> readJobs = jobs(JOBS, TASKS);
        EventLog next = history.random.nextInt(50) == 0 ? new EventLog(VALUE_KB, SLOTS, "t") : null;
        if (next != null && history.random.nextBoolean()) {
            loseLastButOneRecord(history.log);
        }
        TaskEventReader reader = read(readJobs, next);
        assertEquals(attempts(history.jobs), attempts(reader.assignments()), "at step " + step);
        for (Job job : history.jobs.values()) {
            assertEquals(
                    job.completedTasks().indexes(),
                    readJobs.get(job.spec().id()).completedTasks().indexes(),
                    "at step " + step);
        }
        if (next != null) {
            history.failOver(readJobs, reader, next);
        }
    }

    /** The last but one record of the old leader is lost, and its slot keeps what it held before. */
    private void loseLastButOneRecord(EventLog log) {
        EventLog.Batch lost = log.nextBatch(12);
        assertTrue(lost.deletions().isEmpty());
        EventLog.Batch last = log.nextBatch(12);
        if (!last.discardsTombstones()) { // else it waits until the one before is durable
            store.put(last.put().key(), encodedAndDecoded(last.put().value()));
        }
    }

    /**
     * Leaders of the version before go by the larger limit, and later ones by the lower limit that is announced, in
     * turns. No leader of the lower limit writes a larger value, whatever it finds; and at every write the store
     * tells all.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void recordsOfALargerLimitAreReplacedBySmallOnes(long seed) {
        RandomHistory history = new RandomHistory(seed, limitedLog(false, ""));
        boolean small = false;
        int recordsAside = 0;
        for (int step = 0; step < 4000; step++) {
            int phase = step % 1000;
            boolean crowd = phase < 500; // many tasks at once, most of which stay while the ring goes round
            Job job = history.anyJob();
            if (job.assignments().size() < (crowd ? 55 : 40)) {
                history.assignOne(job);
            } else {
                history.settle(history.anyAssignment(job), false);
            }
            boolean limitChanges = phase == 499 || phase == 950;
            if (!limitChanges && history.random.nextInt(crowd ? 300 : 3) != 0) {
                continue;
            }
            recordsAside += writeAllWithin(small, history, step);
            if (limitChanges || history.random.nextInt(60) == 0) {
                small = limitChanges ? phase == 499 : small;
                Map<String, Job> readJobs = jobs(JOBS, TASKS);
                EventLog next = limitedLog(small, step + "-");
                history.failOver(readJobs, read(readJobs, next), next);
            }
        }
        assertTrue(recordsAside > 0, "nothing was too large");
    }

    private static double limitKb(boolean small) {
        return small ? 2 : 16;
    }

    private static EventLog limitedLog(boolean small, String term) {
        return new EventLog(limitKb(small), 64, "t" + term);
    }

    /** Writes all that waits, checks what is stored, and returns how many records went beside the ring. */
    private int writeAllWithin(boolean small, RandomHistory history, int step) {
        int recordsAside = 0;
        while (history.log.hasPending()) {
            EventLog.Batch batch = history.log.nextBatch(4);
            assertTrue(batch.deletions().size() < 4);
            recordsAside += batch.put().key().startsWith("l/x") ? 1 : 0;
            write(batch, limitKb(small));
            Map<String, Long> stored = attempts(read(jobs(JOBS, TASKS), null).assignments());
            if (!history.log.hasPending()) {
                assertEquals(attempts(history.jobs), stored, "at step " + step);
            }
        }
        return recordsAside;
    }

    /** The largest job there may be, with every task assigned at once and half of them completed, fits the ring. */
    @Test
    void aHundredThousandTasksFit() {
        Job job = jobs(1, 100_000).get("job-0");
        EventLog log = new EventLog(VALUE_KB, 1024, "t");
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
            assertTrue(++writes < 4000, "the log writes the same again and again");
        }
        Map<String, Job> readJobs = jobs(1, 100_000);
        TaskEventReader reader = read(readJobs, null);
        assertEquals(50_000, reader.assignments().size());
        assertEquals(
                job.completedTasks().indexes(),
                readJobs.get("job-0").completedTasks().indexes());
    }

    /** A job as it is stored with parts of 128 tasks each. */
    private static Job jobWithLegacyChunks(int tasks) throws InvalidJobSpecException {
        ObjectNode stored = MessageCodec.map().put("order", 0).put("at", 2).put("chunk", 128);
        stored.set("spec", JobSpecBuilder.array(0).tasks(tasks).build().write());
        return Job.read(stored, 0);
    }

    /** Records of the first version: a part of a job's tasks each, with a bitmap in hexadecimal and the assignments. */
    @Test
    void legacyRecordsAreReadAndReplaced() throws InvalidJobSpecException {
        Job job = jobWithLegacyChunks(200);
        assertEquals(128, job.legacyChunkTasks());
        ObjectNode part = MessageCodec.map().put("done", "0184"); // tasks 0, 10 and 15 of this part
        ArrayNode claims = part.putArray("claims");
        for (int i = 16; i < 60; i++) {
            claims.addArray().add(128 + i).add(7L << 32).add("host-000001").add(3);
        }
        EventLog log = new EventLog(VALUE_KB, SLOTS, "t");
        TaskEventReader reader = new TaskEventReader(Map.of("job-0", job));
        store.put("c/job-0/1", part);
        log.restore("c/job-0/1", 5, -1, reader.readLegacyChunk(job, 1, part, -1));
        assertEquals("{128, 138, 143}", job.completedTasks().indexes().toString());
        assertEquals(44, reader.assignments().size());
        reader.assignments().forEach(job::addAssignment);
        while (log.hasPending()) {
            write(log);
        }
        assertEquals(1, store.size(), "the older record is gone: " + store.keySet());
        Map<String, Job> readJobs = jobs(1, 200);
        assertEquals(
                attempts(job.assignments().values()),
                attempts(read(readJobs, null).assignments()));
        assertEquals(
                job.completedTasks().indexes(),
                readJobs.get("job-0").completedTasks().indexes());
    }

    @Test
    void aGangIsPendingOnlyWhenNoneOfItIsAssigned() {
        Job job = TestJob.accepted(JobSpecBuilder.gang(1).tasks(3).build(), 1, 2);
        assertEquals(0, job.nextPendingTask(0));
        job.addAssignment(new TaskAssignment(job, 1, 1, "m", 1, 0));
        assertEquals(-1, job.nextPendingTask(0), "a gang starts whole or not at all");
    }
}
