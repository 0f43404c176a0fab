package stileferry.heartbeat;

import java.util.List;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.protocol.JobSpec;

/**
 * Evicts tasks from a machine that the cloud is reclaiming: has them save checkpoints, and stops those that must move
 * elsewhere.
 */
final class ReclaimNoticeHandler {
    private final ClusterState cluster;
    private final TaskObserver taskObserver;
    private final CommandDispatcher commandDispatcher;

    ReclaimNoticeHandler(ClusterState cluster, TaskObserver taskObserver, CommandDispatcher commandDispatcher) {
        this.cluster = cluster;
        this.taskObserver = taskObserver;
        this.commandDispatcher = commandDispatcher;
    }

    void evictTasks(Machine machine, long now) {
        double noticeS = machine.instance().reclaimNoticeS();
        for (TaskAssignment assignment : List.copyOf(machine.assignments().values())) {
            evict(assignment, noticeS, now);
        }
        commandDispatcher.queueCommands(machine);
        taskObserver.schedulingInputChanged();
    }

    private void evict(TaskAssignment assignment, double noticeS, long now) {
        JobSpec spec = assignment.job().spec();
        boolean endsTooLate = spec.estimateS() - assignment.runtimeMs(now) / 1000.0 > noticeS;
        if (spec.isGang()) {
            if (endsTooLate) {
                boolean canSave = spec.checkpointSaveS() <= noticeS;
                taskObserver.stopTaskOrGang(assignment, canSave ? spec.checkpointSaveS() : 0);
            }
        } else if (spec.isService()) {
            cluster.requestStop(assignment, 0, now);
        } else if (spec.checkpointIntervalS() > 0) {
            cluster.requestStop(assignment, spec.checkpointSaveS(), now);
        } else if (endsTooLate) {
            cluster.requestStop(assignment, 0, now); // its work is lost in any case, so it may restart at once
        }
    }
}
