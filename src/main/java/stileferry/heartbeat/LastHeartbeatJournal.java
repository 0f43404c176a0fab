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
import stileferry.leadership.LeaderElection;
import stileferry.protocol.Environment;
import stileferry.storage.CommitQueue;
import stileferry.storage.EndEvent;
import stileferry.storage.StoredEvent;

/**
 * Journals in the store when machines that missed heartbeats were last answered, so that the next leader need not wait
 * for their leases anew. Before the machine's next heartbeat is answered, it is durable that its record no longer
 * holds; so whoever reads a record that holds knows that its writer renewed nothing since.
 *
 * <p>Only the very next leader may go by a record: every leader journals for itself what it knows. Leaderless renewal
 * answers without a look at records, but only with the consent of every controller's process, so a process remembers
 * when it last consented, or that it did not live yet.
 */
public final class LastHeartbeatJournal {
    private static final Logger LOG = LoggerFactory.getLogger("heartbeat");

    /** Kind of event: when a machine that missed heartbeats was last answered. */
    public static final int LAST_HEARTBEAT_EVENT = 3;

    /** Kind of event: a machine was heard again. */
    public static final int HEARD_AGAIN_EVENT = 4;

    /** Heartbeat intervals after which the last heartbeat is recorded: heartbeats come a quarter late at most. */
    private static final double RECORD_AFTER_HEARTBEATS = 1.5;

    /** A heartbeat waits this long at most until it may be answered: less than the 4 s that its worker waits. */
    private static final long MAX_WAIT_MS = 3000;

    /** Bytes of an event in JSON form beside the machine's name, at most. */
    private static final int MAX_BYTES_BESIDE_NAME = 64;

    private final ClusterState cluster;
    private final Environment environment;
    private final CommitQueue commitQueue;
    private final LeaderElection leadership;
    private final long term;
    private final long heartbeatIntervalMs;
    private final double clockErrorMs;

    /** In the order in which machines were heard again, so that runs with the same seed are the same. */
    private final Map<Machine, List<PendingHeartbeat>> pending = new LinkedHashMap<>();

    /** A heartbeat that waits until it is durable that its machine was heard again. */
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
            return MAX_BYTES_BESIDE_NAME + lastHeartbeat.machine().length();
        }

        @Override
        public void recordedIn(long record) {
            lastHeartbeat.stored(record);
        }

        @Override
        public StoredEvent retainedFrom(long record) {
            return lastHeartbeat.storedIn(record) && !lastHeartbeat.obsolete() ? this : null;
        }

        @Override
        public boolean endsEarlierEvent() {
            return false;
        }
    }

    private record HeardAgainEvent(String machine) implements EndEvent {
        @Override
        public void write(ArrayNode into) {
            into.add(HEARD_AGAIN_EVENT).add(machine);
        }

        @Override
        public int maxBytes() {
            return MAX_BYTES_BESIDE_NAME + machine.length();
        }
    }

    /** A journal for one term. */
    public LastHeartbeatJournal(
            ClusterState cluster,
            Environment environment,
            CommitQueue commitQueue,
            LeaderElection leadership,
            long term) {
        this.cluster = cluster;
        this.environment = environment;
        this.commitQueue = commitQueue;
        this.leadership = leadership;
        this.term = term;
        this.heartbeatIntervalMs = Math.round(cluster.settings().workers().heartbeatIntervalS() * 1000);
        this.clockErrorMs = cluster.settings().clockErrorMs();
    }

    /**
     * Takes in what the former leader recorded, once the assignments are known. Does nothing if the settings don't
     * bound the difference of the controllers' clocks.
     */
    public void restore(Iterable<LastHeartbeatRecord> records) {
        if (clockErrorMs < 0) {
            return;
        }
        int restored = 0;
        for (LastHeartbeatRecord record : records) {
            Machine machine = cluster.machines().get(record.machine());
            if (machine == null || record.term() != term - 1) {
                continue;
            }
            long agoMs = environment.timeOfDay() - record.answeredAt() - (long) Math.ceil(2 * clockErrorMs);
            long answeredAt = Math.max(environment.now() - agoMs, leadership.consentedToLeaderlessRenewalAt());
            machine.agent().recordAnsweredByPreviousLeader(record.incarnation(), answeredAt);
            restored++;
        }
        if (restored > 0) {
            LOG.info("last heartbeats restored: machines={}", restored);
        }
    }

    /** Records when a machine's incarnation was last answered, if it has missed heartbeats since. */
    void recordLastHeartbeat(Machine machine, long incarnation, long answeredAt) {
        long agoMs = environment.now() - answeredAt;
        if (machine.agent().lastHeartbeatRecord() == null
                && !machine.assignments().isEmpty()
                && agoMs > RECORD_AFTER_HEARTBEATS * heartbeatIntervalMs
                && leadership.leaseHeld()) {
            LastHeartbeatRecord record =
                    new LastHeartbeatRecord(machine.name(), incarnation, environment.timeOfDay() - agoMs, term);
            machine.agent().keepLastHeartbeatRecord(record);
            commitQueue.appendEvent(new LastHeartbeatEvent(record), null);
        }
    }

    /**
     * Makes it durable that a machine's record no longer holds, and answers its heartbeat then.
     *
     * @param refuse runs instead of {@code answer} when that takes too long
     */
    void heardAgain(Machine machine, Runnable answer, Runnable refuse) {
        PendingHeartbeat heartbeat = new PendingHeartbeat(environment.now(), answer, refuse);
        List<PendingHeartbeat> sameMachine = pending.get(machine);
        if (sameMachine != null) {
            sameMachine.add(heartbeat);
            return;
        }
        pending.put(machine, new ArrayList<>(List.of(heartbeat)));
        commitQueue.appendEvent(new HeardAgainEvent(machine.name()), () -> {
            machine.agent().discardLastHeartbeatRecord();
            pending.remove(machine).forEach(waiting -> waiting.answer.run());
        });
    }

    /** Refuses heartbeats that have waited too long; their workers send them again. */
    public void refuseExpired() {
        long receivedBefore = environment.now() - MAX_WAIT_MS;
        for (List<PendingHeartbeat> heartbeats : pending.values()) {
            heartbeats.removeIf(heartbeat -> {
                boolean expired = heartbeat.receivedAt < receivedBefore;
                if (expired) {
                    heartbeat.refuse.run();
                }
                return expired;
            });
        }
    }

    /** Refuses all heartbeats that wait. */
    public void close() {
        pending.values().forEach(heartbeats -> heartbeats.forEach(heartbeat -> heartbeat.refuse.run()));
        pending.clear();
    }
}
