package stileferry.lifecycle;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import stileferry.cluster.Job;
import stileferry.cluster.LastHeartbeatRecord;
import stileferry.cluster.TaskAssignment;
import stileferry.heartbeat.LastHeartbeatJournal;
import stileferry.storage.CommitQueue;

/** What is stored of tasks: claims, their ends, and tasks that are done; and how all events are read again. */
public final class TaskEvents {
    private static final int CLAIMED = 0;
    private static final int FREED = 1;
    private static final int DONE = 2;

    /** Bytes of an event in JSON form beside its texts: brackets, quotes and numbers. */
    private static final int BYTES = 48;

    private TaskEvents() {}

    /** A task may be on a machine from now on. */
    static CommitQueue.Event claimed(TaskAssignment claim) {
        return new Claimed(claim);
    }

    /** A claim has ended, and its task waits again. */
    static CommitQueue.Event freed(TaskAssignment claim) {
        return new Freed(claim.job(), claim.index(), claim.attempt());
    }

    /** A task is done. */
    static CommitQueue.Event done(Job job, int index) {
        return new Done(job, index, index);
    }

    private record Claimed(TaskAssignment claim) implements CommitQueue.Event {
        @Override
        public void write(ArrayNode into) {
            into.add(CLAIMED)
                    .add(claim.job().spec().id())
                    .add(claim.index())
                    .add(claim.attempt())
                    .add(claim.machine())
                    .add(claim.incarnation());
        }

        @Override
        public int bytes() {
            return BYTES + claim.job().spec().id().length() + claim.machine().length();
        }

        @Override
        public void recorded(long record) {
            claim.setRecordNumber(record);
        }

        @Override
        public CommitQueue.Event kept(long record) {
            return claim.recordNumber() == record && claim.job().assignments().get(claim.index()) == claim
                    ? this
                    : null;
        }

        @Override
        public boolean ends() {
            return false;
        }
    }

    /** Needed only while an older record holds the claim, and older records are given up first. */
    private record Freed(Job job, int index, long attempt) implements CommitQueue.Event {
        @Override
        public void write(ArrayNode into) {
            into.add(FREED).add(job.spec().id()).add(index).add(attempt);
        }

        @Override
        public int bytes() {
            return BYTES + job.spec().id().length();
        }

        @Override
        public void recorded(long record) {}

        @Override
        public CommitQueue.Event kept(long record) {
            return null;
        }

        @Override
        public boolean ends() {
            return true;
        }
    }

    private record Done(Job job, int from, int to) implements CommitQueue.Event {
        @Override
        public void write(ArrayNode into) {
            into.add(DONE).add(job.spec().id()).add(from).add(to);
        }

        @Override
        public int bytes() {
            return BYTES + job.spec().id().length();
        }

        @Override
        public void recorded(long record) {
            job.completionRecord(from, to, (int) record);
        }

        @Override
        public boolean ends() {
            return false; // said again for as long as its job lives
        }

        /** Together with its neighbours that are done by now, so that a long job takes ever fewer events. */
        @Override
        public CommitQueue.Event kept(long record) {
            if (job.completed()) {
                return null;
            }
            for (int i = from; i <= to; i++) {
                if (job.completionRecord(i) == (int) record) {
                    return new Done(
                            job,
                            job.completedTasks().previousClearBit(from) + 1,
                            job.completedTasks().nextClearBit(to) - 1);
                }
            }
            return null;
        }
    }

    /** Reads stored records, in the order in which they were written. */
    public static final class Reader {
        private final Map<String, Job> jobs;
        private final Map<Job, Map<Integer, TaskAssignment>> claims = new LinkedHashMap<>(); // so that seeds repeat
        private final Map<String, LastHeartbeatRecord> silences = new HashMap<>();

        public Reader(Map<String, Job> jobs) {
            this.jobs = jobs;
        }

        /** Takes one record in and returns its events. */
        public List<CommitQueue.Event> read(JsonNode record, long number) {
            List<CommitQueue.Event> events = new ArrayList<>();
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
                    case CLAIMED ->
                        events.add(claim(
                                job,
                                index,
                                e.path(3).asLong(),
                                e.path(4).asText(),
                                e.path(5).asLong(),
                                number));
                    case FREED -> {
                        TaskAssignment claim = of(job).get(index);
                        if (claim != null && claim.attempt() == e.path(3).asLong()) {
                            of(job).remove(index);
                        }
                        events.add(new Freed(job, index, e.path(3).asLong()));
                    }
                    case DONE ->
                        events.add(done(
                                job,
                                index,
                                Math.min(e.path(3).asInt(), job.spec().taskCount() - 1),
                                number));
                    default -> {}
                }
            }
            return events;
        }

        /** Takes in an event about a machine's heartbeats; false if this is none. */
        private boolean readHeartbeatEvent(int kind, JsonNode event) {
            String machine = event.path(1).asText();
            if (kind == LastHeartbeatJournal.LAST_HEARTBEAT_EVENT) {
                silences.put(machine, LastHeartbeatRecord.read(event));
            } else if (kind == LastHeartbeatJournal.HEARD_AGAIN_EVENT) {
                silences.remove(machine);
            } else {
                return false;
            }
            return true;
        }

        /** Reads the older form: one part of a job's tasks, a bitmap of those done and the claims. */
        public List<CommitQueue.Event> readChunk(Job job, int chunk, JsonNode v, long number) {
            List<CommitQueue.Event> events = new ArrayList<>();
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

        private CommitQueue.Event claim(Job job, int index, long attempt, String machine, long session, long number) {
            TaskAssignment claim = new TaskAssignment(job, index, attempt, machine, session, 0);
            claim.setDurable(true);
            claim.setStartsSent(1);
            claim.setRecordNumber(number);
            of(job).put(index, claim);
            return new Claimed(claim);
        }

        private CommitQueue.Event done(Job job, int from, int to, long number) {
            for (int i = from; i <= to; i++) {
                job.markCompleted(i);
                of(job).remove(i);
            }
            Done done = new Done(job, from, to);
            done.recorded(number);
            return done;
        }

        private Map<Integer, TaskAssignment> of(Job job) {
            return claims.computeIfAbsent(job, j -> new HashMap<>());
        }

        /** The silences of machines that stand after all records. */
        public Iterable<LastHeartbeatRecord> silences() {
            return silences.values();
        }

        /** The claims that stand after all records. */
        public List<TaskAssignment> claims() {
            List<TaskAssignment> all = new ArrayList<>();
            claims.values().forEach(of -> of.values().forEach(assignment -> {
                if (!assignment.job().completedTasks().get(assignment.index())) {
                    all.add(assignment);
                }
            }));
            return all;
        }
    }
}
