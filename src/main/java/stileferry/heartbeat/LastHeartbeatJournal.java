package stileferry.heartbeat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.ClusterState;
import stileferry.cluster.LastHeartbeatRecord;
import stileferry.cluster.Machine;
import stileferry.leadership.FencingTokens;
import stileferry.leadership.LeaderElection;
import stileferry.protocol.Environment;
import stileferry.storage.CommitQueue;
import stileferry.storage.StoredEvent;
import stileferry.storage.TombstoneEvent;

/**
 * Records in the store when machines that missed heartbeats were last answered, so that the next leader need not wait
 * for their whole leases again. Before the next heartbeat of such a machine is answered, the invalidation of its record
 * is durable; so a leader that reads a valid record knows that its writer has renewed nothing since.
 *
 * <p>Only the immediately following leader may rely on a record: every leader records for itself what it knows.
 * Leaderless renewal responds to heartbeats without reading the records, but only with the consent of every
 * controller's process; so a process remembers when it last consented, or that it had not started yet.
 */
public final class LastHeartbeatJournal {
    private static final Logger LOG = LoggerFactory.getLogger("heartbeat");

    /** Event kind: when a machine that missed heartbeats was last answered. */
    public static final int LAST_HEARTBEAT_EVENT = 3;

    /** Event kind: a machine has resumed its heartbeats. */
    public static final int HEARTBEATS_RESUMED_EVENT = 4;

    /**
     * Heartbeat intervals after which the last heartbeat is recorded: heartbeats come at most a quarter of an interval
     * late.
     */
    private static final double RECORD_AFTER_HEARTBEATS = 1.5;

    /** Maximum time for which a heartbeat waits for its response: less than the 4 s that its worker waits. */
    private static final long MAX_WAIT_MS = 3000;

    /** Maximum size in bytes of an event in JSON form, without the machine's name. */
    private static final int MAX_BYTES_WITHOUT_NAME = 64;

    private final ClusterState cluster;
    private final Environment environment;
    private final CommitQueue commitQueue;
    private final LeaderElection leadership;
    private final FencingTokens tokens;
    private final long heartbeatIntervalMs;
    private final double clockErrorMs;

    /** In the order in which machines resumed their heartbeats, so that runs with the same seed are identical. */
    private final Map<Machine, List<PendingHeartbeat>> pendingByMachine = new LinkedHashMap<>();

    /** A heartbeat that waits until the resumption of its machine's heartbeats is durable. */
    private record PendingHeartbeat(long receivedAt, Runnable answer, Runnable refuse) {}

    private record LastHeartbeatEvent(LastHeartbeatRecord lastHeartbeat) implements StoredEvent {
        @Override
        public void write(ArrayNode into) {
            into.add(LAST_HEARTBEAT_EVENT)
                    .add(lastHeartbeat.machine())
                    .add(lastHeartbeat.incarnation())
                    .add(lastHeartbeat.answeredAt())
                    .add(lastHeartbeat.term());
        }

        @Override
        public int maxBytes() {
            return MAX_BYTES_WITHOUT_NAME + lastHeartbeat.machine().length();
        }

        @Override
        public void recordedIn(long record) {
            lastHeartbeat.setRecordNumber(record);
        }

        @Override
        public StoredEvent retainedFrom(long record) {
            return lastHeartbeat.isStoredIn(record) && !lastHeartbeat.obsolete() ? this : null;
        }

        @Override
        public boolean isTombstone() {
            return false;
        }
    }

    private record HeartbeatsResumedEvent(String machine) implements TombstoneEvent {
        @Override
        public void write(ArrayNode into) {
            into.add(HEARTBEATS_RESUMED_EVENT).add(machine);
        }

        @Override
        public int maxBytes() {
            return MAX_BYTES_WITHOUT_NAME + machine.length();
        }
    }

    /** Creates the journal of one term. */
    public LastHeartbeatJournal(
            ClusterState cluster,
            Environment environment,
            CommitQueue commitQueue,
            LeaderElection leadership,
            FencingTokens tokens) {
        this.cluster = cluster;
        this.environment = environment;
        this.commitQueue = commitQueue;
        this.leadership = leadership;
        this.tokens = tokens;
        this.heartbeatIntervalMs = Math.round(cluster.settings().workers().heartbeatIntervalS() * 1000);
        this.clockErrorMs = cluster.settings().clockErrorMs();
    }

    /**
     * Applies the records of the previous leader, once the assignments are known. Does nothing if the settings do not
     * bound the clock difference between controllers.
     */
    public void restore(Iterable<LastHeartbeatRecord> records) {
        if (clockErrorMs < 0) {
            return;
        }
        int restored = 0;
        for (LastHeartbeatRecord record : records) {
            Machine machine = cluster.machines().get(record.machine());
            if (machine == null || record.term() != tokens.previousTerm()) {
                continue;
            }
            long elapsedMs = environment.timeOfDay() - record.answeredAt() - (long) Math.ceil(2 * clockErrorMs);
            long answeredAt = Math.max(environment.now() - elapsedMs, leadership.consentedToLeaderlessRenewalAt());
            machine.agent().lease().recordAnsweredByPreviousLeader(record.incarnation(), answeredAt);
            restored++;
        }
        if (restored > 0) {
            LOG.info("last heartbeats restored: machines={}", restored);
        }
    }

    /**
     * Records when an incarnation of a machine was last answered. Does nothing unless the machine has assignments, has
     * missed heartbeats since and has no record yet, and this controller holds the leader's lease.
     */
    void recordLastHeartbeat(Machine machine, long incarnation, long answeredAt) {
        long elapsedMs = environment.now() - answeredAt;
        if (machine.agent().lease().lastHeartbeatRecord() == null
                && !machine.assignments().isEmpty()
                && elapsedMs > RECORD_AFTER_HEARTBEATS * heartbeatIntervalMs
                && leadership.leaseHeld()) {
            LastHeartbeatRecord record = new LastHeartbeatRecord(
                    machine.name(), incarnation, environment.timeOfDay() - elapsedMs, tokens.term());
            machine.agent().lease().setLastHeartbeatRecord(record);
            commitQueue.appendEvent(new LastHeartbeatEvent(record), null);
        }
    }

    /**
     * Durably invalidates the record of a machine, and then responds to its heartbeat.
     *
     * @param refuse runs instead of {@code answer} if that takes too long
     */
    void invalidateThenAnswer(Machine machine, Runnable answer, Runnable refuse) {
        PendingHeartbeat heartbeat = new PendingHeartbeat(environment.now(), answer, refuse);
        List<PendingHeartbeat> sameMachine = pendingByMachine.get(machine);
        if (sameMachine != null) {
            sameMachine.add(heartbeat);
            return;
        }
        pendingByMachine.put(machine, new ArrayList<>(List.of(heartbeat)));
        commitQueue.appendEvent(new HeartbeatsResumedEvent(machine.name()), () -> {
            machine.agent().lease().discardLastHeartbeatRecord();
            pendingByMachine.remove(machine).forEach(waiting -> waiting.answer.run());
        });
    }

    /** Rejects heartbeats that have waited too long; their workers send them again. */
    public void refuseExpired() {
        long receivedBefore = environment.now() - MAX_WAIT_MS;
        for (List<PendingHeartbeat> heartbeats : pendingByMachine.values()) {
            heartbeats.removeIf(heartbeat -> {
                boolean expired = heartbeat.receivedAt < receivedBefore;
                if (expired) {
                    heartbeat.refuse.run();
                }
                return expired;
            });
        }
    }

    /** Rejects all waiting heartbeats. */
    public void close() {
        pendingByMachine.values().forEach(heartbeats -> heartbeats.forEach(heartbeat -> heartbeat.refuse.run()));
        pendingByMachine.clear();
    }
}
