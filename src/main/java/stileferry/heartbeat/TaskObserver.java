package stileferry.heartbeat;

import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.protocol.Heartbeat;

/** Observes what heartbeats, expired leases and deleted machines reveal about assigned tasks. */
public interface TaskObserver {
    /** Called when a task has exited; its assignment is to be settled. */
    void taskExited(Machine machine, TaskAssignment assignment, Heartbeat.TaskStatus status);

    /** Called when it is proven that a task is not on its machine and can't start there any more. */
    void taskProvenGone(TaskAssignment assignment, SettlementProof proof);

    /** Called when a task has entered another phase. */
    void taskPhaseChanged(TaskAssignment assignment);

    /** Called when all tasks of a gang are running. */
    void gangRunning(Job job);

    /** Stops a task within a grace period in seconds; the other tasks of a gang stop with it. */
    void stopTaskOrGang(TaskAssignment assignment, double graceS);

    /** Called when something has changed that a scheduling pass may use. */
    void schedulingInputChanged();
}
