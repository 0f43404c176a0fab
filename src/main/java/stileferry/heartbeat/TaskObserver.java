package stileferry.heartbeat;

import stileferry.cluster.Claim;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.protocol.Report;

/** What becomes known of claimed tasks. */
public interface TaskObserver {
    /** The task has exited; its claim is to be settled. */
    void exited(Machine machine, Claim claim, Report.TaskState state);

    /** It is proven that the task is not on its machine and can't come there any more. */
    void gone(Claim claim, String proof);

    /** A task is at another stage than before. */
    void progressed(Claim claim);

    /** All tasks of a gang run. */
    void gangRuns(Job job);

    /** A task has to leave its machine; a gang's others have to stop with it. */
    void stopWhole(Claim claim, double graceS);

    /** Something changed that a pass may use. */
    void changed();
}
