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
import stileferry.storage.StoredEvent;

/** Reads all that is durable when a term of leading begins, and builds jobs and task assignments from it. */
final class StateRecovery {
    private static final Logger LOG = LoggerFactory.getLogger("leader");

    private static final long RETRY_DELAY_MS = 300;

    /** Records of an older form, read and then replaced: a part of one job's tasks each. */
    private static final String LEGACY_CHUNK_PREFIX = "c/";

    private final Environment environment;
    private final KeyValueStoreClient store;
    private final ClusterState cluster;
    private final CommitQueue commitQueue;
    private final Listener listener;
    private final List<String> prefixes;
    private boolean closed;

    /** Told what was read. */
    interface Listener {
        /** The jobs that were cancelled in earlier terms, long before everything has been read. */
        void cancelledJobs(List<String> jobs);

        /** The operators' settings. */
        void operatorSettings(OperatorSettings settings);

        /** Everything is in the cluster state. */
        void recovered(Recovered recovered);
    }

    /**
     * What was read beside jobs and task assignments.
     *
     * @param operatorSettingsRevision the revision of the settings' record; 0: there is none
     * @param assignments how many task assignments were read
     */
    record Recovered(
            long operatorSettingsRevision,
            int assignments,
            Iterable<LastHeartbeatRecord> lastHeartbeats,
            List<KeyValue> admissionShards) {}

    /** {@code readsAdmissionShards}: whether the count of admissions is read too. */
    StateRecovery(
            Environment environment,
            KeyValueStoreClient store,
            ClusterState cluster,
            CommitQueue commitQueue,
            Listener listener,
            boolean readsAdmissionShards) {
        this.environment = environment;
        this.store = store;
        this.cluster = cluster;
        this.commitQueue = commitQueue;
        this.listener = listener;
        this.prefixes = new ArrayList<>(List.of(Job.PREFIX, CommitQueue.EVENT_LOG_PREFIX, LEGACY_CHUNK_PREFIX));
        if (readsAdmissionShards) {
            prefixes.add(AdmissionCountShards.PREFIX);
        }
    }

    void close() {
        closed = true;
    }

    /** Reads everything, and all of it again when a read fails. */
    void load() {
        read(prefixes, new HashMap<>());
    }

    /** Reads one prefix after the other. */
    private void read(List<String> prefixesLeft, Map<String, List<KeyValue>> rowsByPrefix) {
        if (prefixesLeft.isEmpty()) {
            readOperatorSettings(rowsByPrefix);
            return;
        }
        String prefix = prefixesLeft.get(0);
        store.scan(prefix, true, scan -> {
            if (closed) {
                return;
            }
            if (scan.rows() == null) {
                environment.schedule(RETRY_DELAY_MS, this::load);
                return;
            }
            if (prefix.equals(Job.PREFIX)) {
                listener.cancelledJobs(cancelledJobs(scan.rows()));
            }
            rowsByPrefix.put(prefix, scan.rows());
            read(prefixesLeft.subList(1, prefixesLeft.size()), rowsByPrefix);
        });
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
        return row.key().substring(Job.PREFIX.length());
    }

    private void readOperatorSettings(Map<String, List<KeyValue>> rowsByPrefix) {
        store.get(LeaderElection.OPERATOR_SETTINGS_KEY, result -> {
            if (closed) {
                return;
            }
            if (result.found()) {
                listener.operatorSettings(OperatorSettings.read(result.row().value()));
            } else if (result.unknown()) {
                environment.schedule(RETRY_DELAY_MS, this::load);
                return;
            }
            long revision = result.found() ? result.row().revision() : 0;
            restoreState(rowsByPrefix, revision);
        });
    }

    private void restoreState(Map<String, List<KeyValue>> rowsByPrefix, long operatorSettingsRevision) {
        buildJobs(rowsByPrefix.get(Job.PREFIX));
        TaskEventReader reader = new TaskEventReader(cluster.jobs());
        restoreLegacyChunks(rowsByPrefix.get(LEGACY_CHUNK_PREFIX), reader);
        restoreEventLog(rowsByPrefix.get(CommitQueue.EVENT_LOG_PREFIX), reader);
        List<TaskAssignment> assignments = reader.assignments();
        assignments.forEach(cluster::assign);
        listener.recovered(new Recovered(
                operatorSettingsRevision,
                assignments.size(),
                reader.lastHeartbeats(),
                rowsByPrefix.getOrDefault(AdmissionCountShards.PREFIX, List.of())));
    }

    private void buildJobs(List<KeyValue> rows) {
        List<Job> jobs = new ArrayList<>();
        for (KeyValue row : rows) {
            try {
                jobs.add(Job.read(row.value(), row.revision()));
            } catch (InvalidJobSpecException e) {
                // its user was told that it is accepted, so nobody may hear that it is unknown
                LOG.error("job record unreadable, its job can't run: key={} reason={}", row.key(), e.getMessage());
                cluster.addUnreadableJob(jobId(row));
            }
        }
        jobs.sort(Comparator.comparingLong(job -> job.acceptanceOrder()));
        jobs.forEach(cluster::addJob);
    }

    private void restoreLegacyChunks(List<KeyValue> rows, TaskEventReader reader) {
        long number = 0;
        for (KeyValue row : rows) {
            String[] key = row.key().split("/");
            Job job = key.length == 3 ? cluster.jobs().get(key[1]) : null;
            // what is left of a job that ended is deleted like the others, with nothing kept of it
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
