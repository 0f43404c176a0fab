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
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.storage.EventLog;
import stileferry.storage.StoredEvent;

/** What is stored of tasks, read again after any write, tells the state at that write. */
class TaskEventsTest {
    private static final double VALUE_KB = 8;

    private static JobSpec spec(int number, int tasks) {
        return new JobSpec(
                "job-" + number,
                "any",
                "red",
                JobSpec.Kind.ARRAY,
                JobSpec.Priority.NORMAL,
                tasks,
                1,
                0,
                1,
                "img",
                1,
                null,
                null,
                false,
                false,
                true,
                10,
                0,
                0,
                -1);
    }

    private static Map<String, Job> jobs(int count, int tasks) {
        Map<String, Job> jobs = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            Job job = new Job(spec(i, tasks), i, 2, 0);
            job.setAccepted(true);
            jobs.put(job.spec().id(), job);
        }
        return jobs;
    }

    /** Writes one record of the log into a map that stands for the store. */
    private static void write(EventLog log, Map<String, JsonNode> store) {
        EventLog.Batch batch = log.nextBatch(12);
        JsonNode value = batch.put().value();
        assertTrue(
                value.toString().length() < VALUE_KB * 1024,
                "a record of " + value.toString().length());
        store.put(batch.put().key(), MessageCodec.decode(MessageCodec.encode(value)));
        batch.deletions().forEach(e -> store.remove(e.key()));
    }

    private static TaskEventReader read(Map<String, JsonNode> store, Map<String, Job> into, EventLog log) {
        TaskEventReader reader = new TaskEventReader(into);
        store.entrySet().stream()
                .filter(e -> e.getKey().startsWith("l/"))
                .sorted(Comparator.comparingLong(e -> e.getValue().path("n").asLong()))
                .forEach(entry -> {
                    long n = entry.getValue().path("n").asLong();
                    List<StoredEvent> events = reader.read(entry.getValue(), n);
                    if (log != null) {
                        log.restore(entry.getKey(), 1, n, events);
                    }
                });
        return reader;
    }

    private static void claimSome(Job job, long attempt, SplittableRandom random, EventLog log) {
        int index = job.completedOrAssigned().nextClearBit(random.nextInt(60));
        if (index < 60) {
            TaskAssignment claim = new TaskAssignment(job, index, attempt, "host-" + random.nextInt(20), 1, 0);
            job.assignments().put(index, claim);
            job.completedOrAssigned().set(index);
            log.append(TaskEvents.claimed(claim), null);
        }
    }

    private static Map<String, Long> attempts(Iterable<TaskAssignment> claims) {
        Map<String, Long> attempts = new TreeMap<>();
        claims.forEach(c -> attempts.put(c.taskId(), c.attempt()));
        return attempts;
    }

    /** A small ring that goes round many times, read again and taken over at random moments. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void theRingAlwaysTellsTheWholeState(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, JsonNode> store = new HashMap<>();
        Map<String, Job> jobs = jobs(8, 60);
        EventLog log = new EventLog(VALUE_KB, 8, "t");
        long attempt = 0;
        for (int step = 0; step < 3000; step++) {
            Job job = jobs.get("job-" + random.nextInt(8));
            if (job.assignments().isEmpty() || random.nextInt(5) < 2) {
                claimSome(job, ++attempt, random, log);
            } else {
                TaskAssignment claim = job.assignments().values().iterator().next();
                job.assignments().remove(claim.index());
                if (random.nextInt(4) == 0) {
                    job.markCompleted(claim.index());
                    log.append(TaskEvents.done(job, claim.index()), null);
                } else {
                    job.completedOrAssigned().clear(claim.index());
                    log.append(TaskEvents.freed(claim), null);
                }
            }
            if (random.nextInt(3) == 0) {
                while (log.hasPending()) {
                    write(log, store);
                }
                Map<String, Job> copy = jobs(8, 60);
                EventLog next = random.nextInt(50) == 0 ? new EventLog(VALUE_KB, 8, "t") : null;
                if (next != null && random.nextBoolean()) {
                    // the last but one record of the old leader is lost, and its slot keeps what it held before
                    EventLog.Batch lost = log.nextBatch(12);
                    assertTrue(lost.deletions().isEmpty());
                    EventLog.Batch last = log.nextBatch(12);
                    if (!last.endsGivenUp()) { // else it waits until the one before is durable
                        store.put(
                                last.put().key(),
                                MessageCodec.decode(
                                        MessageCodec.encode(last.put().value())));
                    }
                }
                TaskEventReader reader = read(store, copy, next);
                List<TaskAssignment> claims = new ArrayList<>();
                jobs.values().forEach(j -> claims.addAll(j.assignments().values()));
                assertEquals(attempts(claims), attempts(reader.assignments()), "at step " + step);
                for (Job j : jobs.values()) {
                    assertEquals(j.completedTasks(), copy.get(j.spec().id()).completedTasks(), "at step " + step);
                }
                if (next != null) { // a new leader goes on with what it has read
                    reader.assignments().forEach(assignment -> {
                        assignment.job().assignments().put(assignment.index(), assignment);
                        assignment.job().completedOrAssigned().set(assignment.index());
                    });
                    jobs = copy;
                    log = next;
                }
            }
        }
        assertEquals(8, store.size());
    }

    /**
     * Leaders of the version before go by the larger limit, and later ones by the lower limit that is announced, in
     * turns. No leader of the lower limit writes a larger value, whatever it finds; and at every write the store
     * tells all.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void recordsOfALargerLimitAreReplacedBySmallOnes(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, JsonNode> store = new HashMap<>();
        Map<String, Job> jobs = jobs(8, 60);
        boolean small = false;
        EventLog log = new EventLog(16, 64, "t");
        long attempt = 0;
        int aside = 0;
        for (int step = 0; step < 4000; step++) {
            Job job = jobs.get("job-" + random.nextInt(8));
            boolean crowd = step % 1000 < 500; // many tasks at once, most of which stay while the ring goes round
            if (job.assignments().size() < (crowd ? 55 : 40)) {
                claimSome(job, ++attempt, random, log);
            } else {
                TaskAssignment claim = job.assignments()
                        .get(job.assignments().keySet().stream()
                                .skip(random.nextInt(job.assignments().size()))
                                .findFirst()
                                .orElseThrow());
                job.assignments().remove(claim.index());
                job.completedOrAssigned().clear(claim.index());
                log.append(TaskEvents.freed(claim), null);
            }
            boolean turn = step % 1000 == 499 || step % 1000 == 950;
            if (!turn && random.nextInt(crowd ? 300 : 3) != 0) {
                continue;
            }
            while (log.hasPending()) {
                EventLog.Batch batch = log.nextBatch(4);
                assertTrue(batch.deletions().size() < 4);
                JsonNode value = batch.put().value();
                aside += batch.put().key().startsWith("l/x") ? 1 : 0;
                assertTrue(
                        value.toString().length() < (small ? 2 : 16) * 1024,
                        "a record of " + value.toString().length());
                store.put(batch.put().key(), MessageCodec.decode(MessageCodec.encode(value)));
                batch.deletions().forEach(e -> store.remove(e.key()));
                Map<String, Job> copy = jobs(8, 60);
                Map<String, Long> told = attempts(read(store, copy, null).assignments());
                if (!log.hasPending()) {
                    List<TaskAssignment> claims = new ArrayList<>();
                    jobs.values().forEach(j -> claims.addAll(j.assignments().values()));
                    assertEquals(attempts(claims), told, "at step " + step);
                }
            }
            if (turn || random.nextInt(60) == 0) {
                small = turn ? !crowd || step % 1000 == 499 : small;
                small &= step % 1000 != 950;
                log = new EventLog(small ? 2 : 16, 64, "t" + step + "-");
                jobs = jobs(8, 60);
                read(store, jobs, log).assignments().forEach(assignment -> {
                    assignment.job().assignments().put(assignment.index(), assignment);
                    assignment.job().completedOrAssigned().set(assignment.index());
                });
            }
        }
        assertTrue(aside > 0, "nothing was too large");
    }

    /** The largest job there may be, with every task claimed at once and half of them done, fits the ring. */
    @Test
    void aHundredThousandTasksFit() {
        Map<String, JsonNode> store = new HashMap<>();
        Map<String, Job> jobs = jobs(1, 100_000);
        Job job = jobs.get("job-0");
        EventLog log = new EventLog(VALUE_KB, 1024, "t");
        List<TaskAssignment> claims = new ArrayList<>();
        for (int i = 0; i < 100_000; i++) {
            TaskAssignment claim = new TaskAssignment(job, i, (1L << 40) + i, "host-123456", 100, 0);
            job.assignments().put(i, claim);
            claims.add(claim);
            log.append(TaskEvents.claimed(claim), null);
        }
        for (int i = 0; i < 100_000; i += 2) {
            job.assignments().remove(i);
            job.markCompleted(i);
            log.append(TaskEvents.done(job, i), null);
        }
        int writes = 0;
        while (log.hasPending()) {
            write(log, store);
            assertTrue(++writes < 4000, "the log writes the same again and again");
        }
        Map<String, Job> copy = jobs(1, 100_000);
        TaskEventReader reader = read(store, copy, null);
        assertEquals(50_000, reader.assignments().size());
        assertEquals(job.completedTasks(), copy.get("job-0").completedTasks());
    }

    /** Records of the first version: a part of a job's tasks each, with a bitmap in hexadecimal and the claims. */
    @Test
    void olderRecordsAreReadAndReplaced() {
        Map<String, JsonNode> store = new HashMap<>();
        Map<String, Job> jobs = jobs(1, 200);
        Job job = jobs.get("job-0");
        job.setLegacyChunkTasks(128);
        ObjectNode part = MessageCodec.map().put("done", "0184"); // tasks 0, 10 and 15 of this part
        ArrayNode claims = part.putArray("claims");
        for (int i = 16; i < 60; i++) {
            claims.addArray().add(128 + i).add(7L << 32).add("host-000001").add(3);
        }
        EventLog log = new EventLog(VALUE_KB, 8, "t");
        TaskEventReader reader = new TaskEventReader(jobs);
        store.put("c/job-0/1", part);
        log.restore("c/job-0/1", 5, -1, reader.readLegacyChunk(job, 1, part, -1));
        assertEquals("{128, 138, 143}", job.completedTasks().toString());
        assertEquals(44, reader.assignments().size());
        reader.assignments().forEach(c -> job.assignments().put(c.index(), c));
        while (log.hasPending()) {
            write(log, store);
        }
        assertEquals(1, store.size(), "the older record is gone: " + store.keySet());
        Map<String, Job> copy = jobs(1, 200);
        assertEquals(
                attempts(job.assignments().values()),
                attempts(read(store, copy, null).assignments()));
        assertEquals(job.completedTasks(), copy.get("job-0").completedTasks());
    }

    @Test
    void aGangWaitsUntilNoneOfItIsLeft() {
        JobSpec s = spec(1, 3);
        Job job = new Job(
                new JobSpec(
                        s.id(),
                        s.jobClass(),
                        s.team(),
                        JobSpec.Kind.GANG,
                        s.priority(),
                        3,
                        1,
                        0,
                        1,
                        "img",
                        1,
                        null,
                        null,
                        false,
                        false,
                        true,
                        10,
                        0,
                        0,
                        -1),
                1,
                2,
                0);
        job.setAccepted(true);
        assertEquals(0, job.nextPendingTask(0));
        job.assignments().put(1, new TaskAssignment(job, 1, 1, "m", 1, 0));
        job.completedOrAssigned().set(1);
        assertEquals(-1, job.nextPendingTask(0), "a gang starts whole or not at all");
    }
}
