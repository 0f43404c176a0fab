package stileferry.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.LastHeartbeatRecord;
import stileferry.cluster.TaskAssignment;
import stileferry.leadership.LeaderElection;
import stileferry.lifecycle.TaskEventReader;
import stileferry.overload.AdmissionCountShards;
import stileferry.protocol.Environment;
import stileferry.protocol.InvalidJobSpecException;
import stileferry.protocol.KeyValue;
import stileferry.protocol.OperatorSettings;
import stileferry.storage.CommitQueue;
import stileferry.storage.KeyValueStoreClient;
import stileferry.storage.ScanResult;
import stileferry.storage.StoredEvent;

/** Reads the whole durable state when a leader's term begins, and restores jobs and task assignments from it. */
final class StateRecovery {
    private static final Logger LOG = LoggerFactory.getLogger("leader");

    private static final long RETRY_DELAY_MS = 300;
    private static final long BYTES_PER_MB = 1024 * 1024;

    /** Prefix of legacy records, each with a part of one job's tasks, which are read and then replaced. */
    private static final String LEGACY_CHUNK_PREFIX = "c/";

    private final Environment environment;
    private final KeyValueStoreClient store;
    private final ClusterState cluster;
    private final CommitQueue commitQueue;
    private final Listener listener;
    private final long term;
    private final long startedAt;
    private final List<String> prefixes;
    private int attempts;
    private boolean closed;

    /** Receives the recovered state; implemented by the leader. */
    interface Listener {
        /**
         * Called with the ids of the jobs that were cancelled in earlier terms, long before recovery is complete; again
         * if a failed read makes recovery start over.
         */
        void cancelledJobs(List<String> jobs);

        /** Called with the operators' settings if any are stored. */
        void operatorSettings(OperatorSettings settings);

        /** Called when all jobs and task assignments are in the cluster state. */
        void recovered(Recovered recovered);
    }

    /**
     * What was read besides jobs and task assignments.
     *
     * @param operatorSettingsRevision the revision of the operators' settings, or 0 if none are stored
     * @param assignments the number of task assignments that were read
     * @param tookMs how long recovery took, with all attempts
     * @param attempts how often it was begun; more than one if reads failed
     */
    record Recovered(
            long operatorSettingsRevision,
            int assignments,
            long tookMs,
            int attempts,
            Iterable<LastHeartbeatRecord> lastHeartbeats,
            List<KeyValue> admissionShards) {}

    /**
     * Creates a recovery, without starting it.
     *
     * @param term the term in which the state is read
     * @param readsAdmissionShards whether the durable count of admissions is read too
     */
    StateRecovery(
            Environment environment,
            KeyValueStoreClient store,
            ClusterState cluster,
            CommitQueue commitQueue,
            Listener listener,
            long term,
            boolean readsAdmissionShards) {
        this.environment = environment;
        this.term = term;
        this.startedAt = environment.now();
        this.store = store;
        this.cluster = cluster;
        this.commitQueue = commitQueue;
        this.listener = listener;
        this.prefixes = new ArrayList<>(List.of(Job.KEY_PREFIX, CommitQueue.EVENT_LOG_PREFIX, LEGACY_CHUNK_PREFIX));
        if (readsAdmissionShards) {
            prefixes.add(AdmissionCountShards.KEY_PREFIX);
        }
    }

    void close() {
        closed = true;
    }

    /** Reads the whole state, and starts over after a delay if a read fails. */
    void load() {
        attempts++;
        read(prefixes, new HashMap<>());
    }

    private void startOver(String failedRead) {
        LOG.warn("state read failed, starting over: term={} attempt={} key={}", term, attempts, failedRead);
        environment.schedule(RETRY_DELAY_MS, this::load);
    }

    /** Reads the remaining prefixes one after another. */
    private void read(List<String> prefixesLeft, Map<String, List<KeyValue>> rowsByPrefix) {
        if (prefixesLeft.isEmpty()) {
            readOperatorSettings(rowsByPrefix);
            return;
        }
        String prefix = prefixesLeft.get(0);
        long sentAt = environment.now();
        store.scan(prefix, true, scan -> {
            if (closed) {
                return;
            }
            if (scan.rows() == null) {
                startOver(prefix);
                return;
            }
            logRead(prefix, scan, environment.now() - sentAt);
            if (prefix.equals(Job.KEY_PREFIX)) {
                listener.cancelledJobs(cancelledJobs(scan.rows()));
            }
            rowsByPrefix.put(prefix, scan.rows());
            read(prefixesLeft.subList(1, prefixesLeft.size()), rowsByPrefix);
        });
    }

    private void logRead(String prefix, ScanResult scan, long tookMs) {
        LOG.info(
                "state read: term={} attempt={} prefix={} rows={} revision={} took_ms={} heap_used_mb={}",
                term,
                attempts,
                prefix,
                scan.rows().size(),
                scan.revision(),
                tookMs,
                environment.usedHeapBytes() / BYTES_PER_MB);
    }

    private static List<String> cancelledJobs(List<KeyValue> jobs) {
        List<String> ids = new ArrayList<>();
        for (KeyValue row : jobs) {
            if (row.value().path("cancelled").asBoolean()) {
                ids.add(jobId(row));
            }
        }
        return ids;
    }

    private static String jobId(KeyValue row) {
        return row.key().substring(Job.KEY_PREFIX.length());
    }

    private void readOperatorSettings(Map<String, List<KeyValue>> rowsByPrefix) {
        store.get(LeaderElection.OPERATOR_SETTINGS_KEY, result -> {
            if (closed) {
                return;
            }
            if (result.found()) {
                listener.operatorSettings(OperatorSettings.read(result.row().value()));
            } else if (result.unknown()) {
                startOver(LeaderElection.OPERATOR_SETTINGS_KEY);
                return;
            }
            long revision = result.found() ? result.row().revision() : 0;
            restoreState(rowsByPrefix, revision);
        });
    }

    private void restoreState(Map<String, List<KeyValue>> rowsByPrefix, long operatorSettingsRevision) {
        buildJobs(rowsByPrefix.get(Job.KEY_PREFIX));
        TaskEventReader reader = new TaskEventReader(cluster.jobs());
        restoreLegacyChunks(rowsByPrefix.get(LEGACY_CHUNK_PREFIX), reader);
        restoreEventLog(rowsByPrefix.get(CommitQueue.EVENT_LOG_PREFIX), reader);
        List<TaskAssignment> assignments = reader.unsettledAssignments();
        assignments.forEach(cluster::assign);
        listener.recovered(new Recovered(
                operatorSettingsRevision,
                assignments.size(),
                environment.now() - startedAt,
                attempts,
                reader.lastHeartbeats(),
                rowsByPrefix.getOrDefault(AdmissionCountShards.KEY_PREFIX, List.of())));
    }

    private void buildJobs(List<KeyValue> rows) {
        List<Job> jobs = new ArrayList<>();
        for (KeyValue row : rows) {
            try {
                jobs.add(Job.read(row.value(), row.revision()));
            } catch (InvalidJobSpecException e) {
                // A user was informed that the job was accepted, so no response may say that it is unknown.
                LOG.error("stored job is unreadable and can't run: key={} reason={}", row.key(), e.getMessage());
                cluster.addUnreadableJob(jobId(row));
            }
        }
        jobs.sort(Comparator.comparingLong(job -> job.submissionOrder()));
        jobs.forEach(cluster::addJob);
    }

    private void restoreLegacyChunks(List<KeyValue> rows, TaskEventReader reader) {
        long number = 0;
        for (KeyValue row : rows) {
            String[] key = row.key().split("/");
            Job job = key.length == 3 ? cluster.jobs().get(key[1]) : null;
            // A chunk of a job that has ended is restored without events: it is deleted and nothing of it is retained.
            List<StoredEvent> events = job == null
                    ? List.of()
                    : reader.readLegacyChunk(job, Integer.parseInt(key[2]), row.value(), --number);
            commitQueue.restore(row.key(), row.revision(), number, events);
        }
    }

    private void restoreEventLog(List<KeyValue> rows, TaskEventReader reader) {
        rows.sort(Comparator.comparingLong(StateRecovery::recordNumber));
        for (KeyValue row : rows) {
            long number = recordNumber(row);
            commitQueue.restore(row.key(), row.revision(), number, reader.read(row.value(), number));
        }
    }

    private static long recordNumber(KeyValue row) {
        return row.value().path("n").asLong();
    }
}
