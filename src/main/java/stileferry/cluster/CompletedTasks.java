package stileferry.cluster;

import java.util.Arrays;
import java.util.BitSet;

/** The tasks of one job that have completed, and which stored records say so. */
public final class CompletedTasks {
    private final BitSet indexes = new BitSet();
    private final int taskCount;
    private int count;

    /** For each task the number of the stored record that says that it has completed; null before the first. */
    private int[] records;

    CompletedTasks(int taskCount) {
        this.taskCount = taskCount;
    }

    void add(int index) {
        if (!indexes.get(index)) {
            indexes.set(index);
            count++;
        }
    }

    public boolean contains(int index) {
        return indexes.get(index);
    }

    public int count() {
        return count;
    }

    /** The first of the completed tasks in a row that this completed task belongs to. */
    public int firstOfRun(int index) {
        return indexes.previousClearBit(index) + 1;
    }

    /** The last of the completed tasks in a row that this completed task belongs to. */
    public int lastOfRun(int index) {
        return indexes.nextClearBit(index) - 1;
    }

    /** The number of the stored record that says that a task has completed; 0: none does. */
    public int recordOf(int index) {
        return records == null ? 0 : records[index];
    }

    /** Notes the number of the stored record that says that these tasks, both ends included, have completed. */
    public void stored(int from, int to, int recordNumber) {
        if (records == null) {
            records = new int[taskCount];
        }
        Arrays.fill(records, from, to + 1, recordNumber);
    }

    /** The indexes of the completed tasks, as a copy. */
    public BitSet indexes() {
        return (BitSet) indexes.clone();
    }
}
