package stileferry.cluster;

import java.util.Arrays;
import java.util.BitSet;

/** The completed tasks of one job, and the numbers of the event log records that contain their completion. */
public final class CompletedTasks {
    private final BitSet indexes = new BitSet();
    private final int taskCount;
    private int count;

    /**
     * The event log record number of each task's completion, or 0 if there is none; the array is null until the first
     * one is set.
     */
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

    /** Returns the index of the first task in the range of consecutive completed tasks that contains this one. */
    public int rangeStart(int index) {
        return indexes.previousClearBit(index) + 1;
    }

    /** Returns the index of the last task in the range of consecutive completed tasks that contains this one. */
    public int rangeEnd(int index) {
        return indexes.nextClearBit(index) - 1;
    }

    /** Returns the number of the event log record that contains a task's completion, or 0 if there is none. */
    public int recordNumberOf(int index) {
        return recordNumbers == null ? 0 : recordNumbers[index];
    }

    /**
     * Sets the number of the event log record that contains the completion of the tasks from {@code from} to {@code
     * to}.
     */
    public void setRecordNumber(int from, int to, int recordNumber) {
        if (recordNumbers == null) {
            recordNumbers = new int[taskCount];
        }
        Arrays.fill(recordNumbers, from, to + 1, recordNumber);
    }

    /** Returns a copy of the set of indexes of the completed tasks. */
    public BitSet indexes() {
        return (BitSet) indexes.clone();
    }
}
