package stileferry.lifecycle;

import com.fasterxml.jackson.databind.node.ArrayNode;
import stileferry.cluster.Job;
import stileferry.cluster.TaskAssignment;
import stileferry.storage.StoredEvent;
import stileferry.storage.TombstoneEvent;

/** Stored task events. Each event is an array that begins with the event's kind and the job's id. */
final class TaskEvents {
    /** Event kinds, numbered in one sequence with those of machines' heartbeats. */
    static final int ASSIGNED = 0;

    static final int SETTLED = 1;
    static final int COMPLETED = 2;

    /** Maximum size in bytes of an event in JSON form without its texts: brackets, quotes and numbers. */
    private static final int MAX_BYTES_WITHOUT_TEXTS = 48;

    private TaskEvents() {}

    /** Returns the event that a task may be on a machine from now on. */
    static StoredEvent assigned(TaskAssignment assignment) {
        return new Assigned(assignment);
    }

    /** Returns the event that an assignment is settled, and its task is pending again. */
    static StoredEvent settled(TaskAssignment assignment) {
        return new Settled(assignment.job(), assignment.index(), assignment.attempt());
    }

    /** Returns the event that a task has completed. */
    static StoredEvent completed(Job job, int index) {
        return new Completed(job, index, index);
    }

    private static int maxEventBytes(Job job) {
        return MAX_BYTES_WITHOUT_TEXTS + job.spec().id().length();
    }

    /** Event 0: an assignment; retained until it is settled. */
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
            return TaskEvents.maxEventBytes(assignment.job())
                    + assignment.machine().length();
        }

        @Override
        public void recordedIn(long record) {
            assignment.setRecordNumber(record);
        }

        @Override
        public StoredEvent retainedFrom(long record) {
            return assignment.isStoredIn(record) && assignment.job().hasUnsettled(assignment) ? this : null;
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
            return TaskEvents.maxEventBytes(job);
        }
    }

    /**
     * Event 2: the tasks in this range of indexes, both ends included, have completed. Retained until their job is
     * completed.
     */
    record Completed(Job job, int firstIndex, int lastIndex) implements StoredEvent {
        @Override
        public void write(ArrayNode into) {
            into.add(COMPLETED).add(job.spec().id()).add(firstIndex).add(lastIndex);
        }

        @Override
        public int maxBytes() {
            return TaskEvents.maxEventBytes(job);
        }

        @Override
        public void recordedIn(long record) {
            job.completedTasks().setRecordNumber(firstIndex, lastIndex, (int) record);
        }

        @Override
        public boolean isTombstone() {
            return false; // it also ends assignments, but is retained as long as its job exists
        }

        /**
         * Returns this event merged with adjacent tasks that have completed by now, so that a long job takes ever fewer
         * events.
         */
        @Override
        public StoredEvent retainedFrom(long record) {
            if (job.completed()) {
                return null;
            }
            for (int index = firstIndex; index <= lastIndex; index++) {
                if (job.completedTasks().recordNumberOf(index) == (int) record) {
                    return new Completed(
                            job,
                            job.completedTasks().rangeStart(firstIndex),
                            job.completedTasks().rangeEnd(lastIndex));
                }
            }
            return null;
        }
    }
}
