package stileferry.lifecycle;

import java.util.List;
import java.util.function.Consumer;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.TaskAssignment;
import stileferry.leadership.LeaderElection;
import stileferry.storage.CommitQueue;
import stileferry.storage.StoredEntry;

/**
 * Completes and cancels jobs during one term. Users are informed of a completion once it is durable, and of a
 * cancellation once enough controllers know of it too and no task of the job can start any more.
 */
public final class JobCompletion {
    private final ClusterState cluster;
    private final CommitQueue commitQueue;
    private final CompletedJobCache completedJobs;
    private final LeaderElection leaderElection;
    private final Listener listener;
    private final Consumer<TaskAssignment> stopTask;

    /** Is notified when users may be informed of a change. */
    public interface Listener {
        /** Called when the completion of a job is durable. */
        void jobCompleted(Job job, CompletedJob completed);

        /** Called when the cancellation of a job may be confirmed. */
        void cancellationConfirmed(Job job);
    }

    /**
     * Creates the job completion of one term.
     *
     * @param stopTask stops an assigned task at once
     */
    public JobCompletion(
            ClusterState cluster,
            CommitQueue commitQueue,
            CompletedJobCache completedJobs,
            LeaderElection leaderElection,
            Listener listener,
            Consumer<TaskAssignment> stopTask) {
        this.cluster = cluster;
        this.commitQueue = commitQueue;
        this.completedJobs = completedJobs;
        this.leaderElection = leaderElection;
        this.listener = listener;
        this.stopTask = stopTask;
    }

    /** Completes the jobs that have no unfinished tasks, and resumes cancellations, after a failover. */
    public void resumeAfterFailover() {
        for (Job job : List.copyOf(cluster.jobs().values())) {
            if (job.cancelled()) {
                onCancellationDurable(job);
            } else if (job.unfinishedCount() == 0) {
                complete(job, CompletedJob.DONE, null);
            }
        }
    }

    /**
     * Moves the record of a job to the completed jobs; other stored data of the job is deleted later. Does nothing if
     * the record is already being moved.
     *
     * @param onDurable runs when the move is durable; may be null
     */
    void complete(Job job, String outcome, Runnable onDurable) {
        if (job.completing()) {
            return;
        }
        job.markCompleting();
        String id = job.spec().id();
        CompletedJob completed = new CompletedJob(outcome, job.completedCount());
        StoredEntry entry = new StoredEntry(Job.completedKey(id), 0, completed::write);
        commitQueue.putAndDelete(entry, job.entry(), () -> {
            job.markCompleted();
            leaderElection.cancellations().allTasksGone(id);
            cluster.removeJob(job);
            completedJobs.put(id, completed);
            listener.jobCompleted(job, completed);
            if (onDurable != null) {
                onDurable.run();
            }
        });
    }

    /** Cancels a job that is neither cancelled nor completing. */
    public void cancel(Job job) {
        job.requestCancellation();
        settleUnsentAssignments(job);
        if (job.assignments().isEmpty()) {
            complete(job, CompletedJob.CANCELLED, null);
        } else {
            commitQueue.put(job.entry(), () -> onCancellationDurable(job));
        }
    }

    private void settleUnsentAssignments(Job job) {
        for (TaskAssignment assignment : List.copyOf(job.assignments().values())) {
            if (!assignment.startSent()) {
                cluster.unassign(assignment, false);
                commitQueue.appendEvent(TaskEvents.settled(assignment), null);
            }
        }
    }

    /** Stops the tasks of a durably cancelled job, and announces the cancellation to the other controllers. */
    private void onCancellationDurable(Job job) {
        job.markCancellationDurable();
        List.copyOf(job.assignments().values()).forEach(stopTask);
        if (job.assignments().isEmpty()) {
            complete(job, CompletedJob.CANCELLED, null);
            return;
        }
        leaderElection.confirmCancellation(job.spec().id(), () -> {
            job.markCancellationReplicated();
            confirmCancellation(job);
        });
    }

    /**
     * Confirms the cancellation of a job to its users, if enough controllers know of it, as any of them that renews
     * leases may have to stop the tasks, and if no task of the job can start any more: a task that is still pulling its
     * image on an unreachable machine would start later.
     */
    void confirmCancellation(Job job) {
        if (job.cancellationReplicated()
                && !job.cancellationConfirmed()
                && !job.completing()
                && !job.mayStartWithoutFurtherCommand()) {
            job.markCancellationConfirmed();
            listener.cancellationConfirmed(job);
        }
    }
}
