package stileferry.lifecycle;

import com.fasterxml.jackson.databind.node.ArrayNode;
import stileferry.cluster.Job;
import stileferry.cluster.TaskAssignment;
import stileferry.storage.StoredEvent;
import stileferry.storage.TombstoneEvent;

/** The stored events of tasks. Each is an array that begins with the event's kind and the job's id. */
final class TaskEvents {
    /** Kinds of events, beside those of machines' heartbeats. */
    static final int ASSIGNED = 0;

    static final int SETTLED = 1;
    static final int COMPLETED = 2;

    /** Bytes of an event in JSON form beside its texts: brackets, quotes and numbers. */
    private static final int BYTES = 48;

    private TaskEvents() {}

    /** A task may be on a machine from now on. */
    static StoredEvent assigned(TaskAssignment assignment) {
        return new Assigned(assignment);
    }

    /** An assignment is settled, and its task is pending again. */
    static StoredEvent settled(TaskAssignment assignment) {
        return new Settled(assignment.job(), assignment.index(), assignment.attempt());
    }

    /** A task has completed. */
    static StoredEvent completed(Job job, int index) {
        return new Completed(job, index, index);
    }

    private static int bytes(Job job) {
        return BYTES + job.spec().id().length();
    }

    /** Event 0: an assignment, kept until it is settled. */
    record Assigned(TaskAssignment assignment) implements StoredEvent {
        @Override
        public void write(ArrayNode into) {
            into.add(ASSIGNED)
                    .add(assignment.job().spec().id())
                    .add(assignment.index())
                    .add(assignment.attempt())
                    .add(assignment.machine())
                    .add(assignment.incarnation());
        }

        @Override
        public int maxBytes() {
            return TaskEvents.bytes(assignment.job()) + assignment.machine().length();
        }

        @Override
        public void recordedIn(long record) {
            assignment.stored(record);
        }

        @Override
        public StoredEvent retainedFrom(long record) {
            return assignment.storedIn(record) && assignment.job().holds(assignment) ? this : null;
        }

        @Override
        public boolean isTombstone() {
            return false;
        }
    }

    /** Event 1: the assignment of this attempt is settled. */
    record Settled(Job job, int index, long attempt) implements TombstoneEvent {
        @Override
        public void write(ArrayNode into) {
            into.add(SETTLED).add(job.spec().id()).add(index).add(attempt);
        }

        @Override
        public int maxBytes() {
            return TaskEvents.bytes(job);
        }
    }

    /** Event 2: these tasks, both ends included, have completed. Kept until their job is completed. */
    record Completed(Job job, int from, int to) implements StoredEvent {
        @Override
        public void write(ArrayNode into) {
            into.add(COMPLETED).add(job.spec().id()).add(from).add(to);
        }

        @Override
        public int maxBytes() {
            return TaskEvents.bytes(job);
        }

        @Override
        public void recordedIn(long record) {
            job.completedTasks().stored(from, to, (int) record);
        }

        @Override
        public boolean isTombstone() {
            return false; // it ends assignments too, but is kept for as long as its job is there
        }

        /** Together with its neighbours that have completed by now, so that a long job takes ever fewer events. */
        @Override
        public StoredEvent retainedFrom(long record) {
            if (job.completed()) {
                return null;
            }
            for (int index = from; index <= to; index++) {
                if (job.completedTasks().recordOf(index) == (int) record) {
                    return new Completed(
                            job,
                            job.completedTasks().firstOfRun(from),
                            job.completedTasks().lastOfRun(to));
                }
            }
            return null;
        }
    }
}
