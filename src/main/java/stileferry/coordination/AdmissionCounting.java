package stileferry.coordination;

import java.util.List;
import stileferry.cluster.Job;
import stileferry.overload.AdmissionCountShards;
import stileferry.overload.AdmissionSettings;
import stileferry.protocol.KeyValue;
import stileferry.protocol.Settings;
import stileferry.protocol.SubmissionHeader;
import stileferry.storage.CommitQueue;

/** Counts the jobs that a leader accepts, where admissions are divided under overload. */
final class AdmissionCounting {
    private final Settings settings;

    /** Null: this leader does not count. */
    private AdmissionCountShards shards;

    AdmissionCounting(Settings settings) {
        this.settings = settings;
    }

    /** Begins to count; {@code countedSince} is the first term of the unbroken run of leaders that count. */
    void start(List<KeyValue> storedShards, long countedSince, CommitQueue commitQueue) {
        shards = new AdmissionCountShards(
                storedShards, countedSince, settings.keyValueStore().maxValueKb());
        commitQueue.setTransactionCounter(shards);
    }

    /** Whether this leader counts, and so divides admissions. */
    boolean started() {
        return shards != null;
    }

    /** Has a job counted in the transaction that makes it durable. */
    void count(Job job) {
        if (started()) {
            shards.registerJob(job.entry(), AdmissionSettings.teamClass(settings, job.spec()));
        }
    }

    /** Whether a submission goes before all others, and is taken when they are not. */
    boolean bypassesBacklog(byte[] submission) {
        return started() && SubmissionHeader.isCritical(submission);
    }
}
