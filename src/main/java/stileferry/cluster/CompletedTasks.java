package stileferry.cluster;

import java.util.Arrays;
import java.util.BitSet;

/** The tasks of one job that have completed, and which stored records say so. */
public final class CompletedTasks {
    private final BitSet indexes = new BitSet();
    private final int taskCount;
    private int count;

    /** For each task the number of the stored record that says that it has completed; null before the first. */
    private int[] recordNumbers;

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
    public int rangeStart(int index) {
        return indexes.previousClearBit(index) + 1;
    }

    /** The last of the completed tasks in a row that this completed task belongs to. */
    public int rangeEnd(int index) {
        return indexes.nextClearBit(index) - 1;
    }

    /** The number of the stored record that says that a task has completed; 0: none does. */
    public int recordNumberOf(int index) {
        return recordNumbers == null ? 0 : recordNumbers[index];
    }

    /** Notes the number of the stored record that says that these tasks, both ends included, have completed. */
    public void setRecordNumber(int from, int to, int recordNumber) {
        if (recordNumbers == null) {
            recordNumbers = new int[taskCount];
        }
        Arrays.fill(recordNumbers, from, to + 1, recordNumber);
    }

    /** The indexes of the completed tasks, as a copy. */
    public BitSet indexes() {
        return (BitSet) indexes.clone();
    }
}
