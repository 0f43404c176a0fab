package stileferry.heartbeat;

import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.protocol.Heartbeat;

/** Hears what heartbeats, expired leases and deleted machines tell about assigned tasks. */
public interface TaskObserver {
    /** The task has exited; its assignment is to be settled. */
    void taskExited(Machine machine, TaskAssignment assignment, Heartbeat.TaskStatus status);

    /** It is proven that the task is not on its machine and can't start there any more. */
    void taskProvenGone(TaskAssignment assignment, SettlementProof proof);

    /** The task has entered another phase. */
    void taskPhaseChanged(TaskAssignment assignment);

    /** All tasks of a gang run. */
    void gangRunning(Job job);

    /** The task has to leave its machine within a grace period; the other tasks of a gang stop with it. */
    void stopTaskOrGang(TaskAssignment assignment, double graceS);

    /** Something changed that a scheduling pass may use. */
    void schedulingInputChanged();
}
