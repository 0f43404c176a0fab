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
 * Completes and cancels jobs in one term. Users hear of a completion once it is durable, of a cancellation once enough
 * controllers know it too and no task can start any more.
 */
public final class JobCompletion {
    private final ClusterState cluster;
    private final CommitQueue commitQueue;
    private final CompletedJobCache completedJobs;
    private final LeaderElection leaderElection;
    private final Listener listener;
    private final Consumer<TaskAssignment> stopTask;

    /** Notified of what users may hear. */
    public interface Listener {
        /** A job's completion is durable. */
        void jobCompleted(Job job, CompletedJob completed);

        /** A job's cancellation may be confirmed. */
        void cancellationConfirmed(Job job);
    }

    /** The completions of one term; {@code stop} stops an assigned task at once. */
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

    /** After a failover, completes the jobs that the former leader left to complete, and resumes cancellations. */
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
     * Moves a job's record to the completed jobs; what else is stored of it is deleted later. Does nothing if it is
     * being moved already.
     *
     * @param onDurable run when that is durable; may be null
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

    /** A cancellation is durable: the tasks are stopped, and the other controllers hear of it. */
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
     * Confirms a job's cancellation to its users, if enough controllers know it (whoever renews leases may have to stop
     * its tasks) and no task of it can start any more: while a machine can't be reached, one that still pulls its image
     * would start later.
     */
    void confirmCancellation(Job job) {
        if (job.cancellationReplicated()
                && !job.cancellationConfirmed()
                && !job.completing()
                && !job.mayStartUnprompted()) {
            job.markCancellationConfirmed();
            listener.cancellationConfirmed(job);
        }
    }
}
