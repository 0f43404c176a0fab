package stileferry.lifecycle;

import com.fasterxml.jackson.databind.node.ArrayNode;
import stileferry.cluster.Job;
import stileferry.cluster.TaskAssignment;
import stileferry.storage.StoredEvent;

/** What is stored of tasks: claims, their ends, and tasks that are done; and how all events are read again. */
public final class TaskEvents {
    static final int CLAIMED = 0;
    static final int FREED = 1;
    static final int DONE = 2;

    /** Bytes of an event in JSON form beside its texts: brackets, quotes and numbers. */
    private static final int BYTES = 48;

    private TaskEvents() {}

    /** A task may be on a machine from now on. */
    static StoredEvent claimed(TaskAssignment claim) {
        return new Claimed(claim);
    }

    /** A claim has ended, and its task waits again. */
    static StoredEvent freed(TaskAssignment claim) {
        return new Freed(claim.job(), claim.index(), claim.attempt());
    }

    /** A task is done. */
    static StoredEvent done(Job job, int index) {
        return new Done(job, index, index);
    }

    /** Event 0: a task may be on a machine from now on. */
    record Claimed(TaskAssignment claim) implements StoredEvent {
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
        public int maxBytes() {
            return BYTES + claim.job().spec().id().length() + claim.machine().length();
        }

        @Override
        public void recordedIn(long record) {
            claim.setRecordNumber(record);
        }

        @Override
        public StoredEvent retainedFrom(long record) {
            return claim.recordNumber() == record && claim.job().assignments().get(claim.index()) == claim
                    ? this
                    : null;
        }

        @Override
        public boolean endsEarlierEvent() {
            return false;
        }
    }

    /** Event 1: an assignment is settled. */
    record Freed(Job job, int index, long attempt) implements StoredEvent {
        @Override
        public void write(ArrayNode into) {
            into.add(FREED).add(job.spec().id()).add(index).add(attempt);
        }

        @Override
        public int maxBytes() {
            return BYTES + job.spec().id().length();
        }

        @Override
        public void recordedIn(long record) {}

        @Override
        public StoredEvent retainedFrom(long record) {
            return null;
        }

        @Override
        public boolean endsEarlierEvent() {
            return true;
        }
    }

    /** Event 2: these tasks of a job, in a row, have completed. */
    record Done(Job job, int from, int to) implements StoredEvent {
        @Override
        public void write(ArrayNode into) {
            into.add(DONE).add(job.spec().id()).add(from).add(to);
        }

        @Override
        public int maxBytes() {
            return BYTES + job.spec().id().length();
        }

        @Override
        public void recordedIn(long record) {
            job.completionRecord(from, to, (int) record);
        }

        @Override
        public boolean endsEarlierEvent() {
            return false; // said again for as long as its job lives
        }

        /** Together with its neighbours that are done by now, so that a long job takes ever fewer events. */
        @Override
        public StoredEvent retainedFrom(long record) {
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
}
