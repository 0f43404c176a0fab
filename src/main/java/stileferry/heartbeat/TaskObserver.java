package stileferry.heartbeat;

import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.protocol.Heartbeat;

/** What becomes known of claimed tasks. */
public interface TaskObserver {
    /** The task has exited; its claim is to be settled. */
    void exited(Machine machine, TaskAssignment claim, Heartbeat.TaskStatus state);

    /** It is proven that the task is not on its machine and can't come there any more. */
    void gone(TaskAssignment claim, String proof);

    /** A task is at another stage than before. */
    void phaseChanged(TaskAssignment claim);

    /** All tasks of a gang run. */
    void gangRunning(Job job);

    /** A task has to leave its machine; a gang's others have to stop with it. */
    void stopTaskOrGang(TaskAssignment claim, double graceS);

    /** Something changed that a pass may use. */
    void changed();
}
