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
 * Machines that have fallen silent, noted in the state service, so that the next leader need not begin to wait for
 * their leases anew. A note says when a report of the machine was last answered. Before the machine's next report is
 * answered, it is durable that the note no longer holds; so whoever reads a note that stands knows that its writer
 * renewed nothing since.
 *
 * <p>Only the very next leader may go by a note: every leader notes for itself what it knows. Leaderless renewal
 * answers without a look at notes, but only with the consent of every controller's process, so a process remembers when
 * it last consented, or that it did not live yet.
 */
public final class LastHeartbeatJournal {
    private static final Logger LOG = LoggerFactory.getLogger("fleet");

    /** Kinds of events in the records, beside those of tasks. */
    public static final int LAST_HEARTBEAT_EVENT = 3;

    public static final int HEARD_AGAIN_EVENT = 4;

    /** Reports come a quarter late at most, and one may get lost. */
    private static final double NOTE_AFTER_REPORTS = 1.5;

    /** A report waits this long at most until it may be answered: less than the 4 s that its worker waits. */
    private static final long DURABLE_MS = 3000;

    /** Bytes of an event in JSON form beside the machine's name. */
    private static final int BYTES = 64;

    private final ClusterState cluster;
    private final Environment environment;
    private final CommitQueue ledger;
    private final LeaderElection leadership;
    private final long term;
    private final long reportMs;
    private final double clockOffMs;
    private final Map<Machine, List<Waiting>> waiting = new LinkedHashMap<>(); // in an order that a seed repeats

    private record Waiting(long since, Runnable answer, Runnable refuse) {}

    private record Silent(LastHeartbeatRecord silence) implements StoredEvent {
        @Override
        public void write(ArrayNode into) {
            into.add(LAST_HEARTBEAT_EVENT)
                    .add(silence.machine())
                    .add(silence.incarnation())
                    .add(silence.answeredAt())
                    .add(silence.term());
        }

        @Override
        public int maxBytes() {
            return BYTES + silence.machine().length();
        }

        @Override
        public void recordedIn(long record) {
            silence.stored(record);
        }

        @Override
        public StoredEvent retainedFrom(long record) {
            return silence.storedIn(record) && !silence.obsolete() ? this : null;
        }

        @Override
        public boolean endsEarlierEvent() {
            return false;
        }
    }

    private record Heard(String machine) implements EndEvent {
        @Override
        public void write(ArrayNode into) {
            into.add(HEARD_AGAIN_EVENT).add(machine);
        }

        @Override
        public int maxBytes() {
            return BYTES + machine.length();
        }
    }

    public LastHeartbeatJournal(
            ClusterState cluster, Environment environment, CommitQueue ledger, LeaderElection leadership, long term) {
        this.cluster = cluster;
        this.environment = environment;
        this.ledger = ledger;
        this.leadership = leadership;
        this.term = term;
        this.reportMs = Math.round(cluster.settings().workers().heartbeatIntervalS() * 1000);
        this.clockOffMs = cluster.settings().clockErrorMs();
    }

    /** Takes in what the former leader noted, once the claims are known. */
    public void restore(Iterable<LastHeartbeatRecord> notes) {
        if (clockOffMs < 0) {
            return; // clocks of which nothing is said can't be compared
        }
        int taken = 0;
        for (LastHeartbeatRecord record : notes) {
            Machine machine = cluster.machines().get(record.machine());
            if (machine == null || record.term() != term - 1) {
                continue;
            }
            long ago = environment.timeOfDay() - record.answeredAt() - (long) Math.ceil(2 * clockOffMs);
            machine.agent()
                    .recordAnsweredByPreviousLeader(
                            record.incarnation(),
                            Math.max(environment.now() - ago, leadership.consentedToLeaderlessRenewalAt()));
            taken++;
        }
        if (taken > 0) {
            LOG.info("{} machines were silent before this leader began", taken);
        }
    }

    /** Notes a machine whose last report, of this session, was answered then, if it is silent for long enough. */
    void note(Machine machine, long session, long answeredAt) {
        long ago = environment.now() - answeredAt;
        if (machine.agent().lastHeartbeatRecord() == null
                && !machine.assignments().isEmpty()
                && ago > NOTE_AFTER_REPORTS * reportMs
                && leadership.leaseHeld()) {
            machine.agent()
                    .keepLastHeartbeatRecord(
                            new LastHeartbeatRecord(machine.name(), session, environment.timeOfDay() - ago, term));
            ledger.appendEvent(new Silent(machine.agent().lastHeartbeatRecord()), null);
        }
    }

    /** Answers a report of a machine that was noted as soon as it is durable that it is silent no more. */
    void heard(Machine machine, Runnable answer, Runnable refuse) {
        List<Waiting> before = waiting.get(machine);
        if (before != null) {
            before.add(new Waiting(environment.now(), answer, refuse));
            return;
        }
        waiting.put(machine, new ArrayList<>(List.of(new Waiting(environment.now(), answer, refuse))));
        ledger.appendEvent(new Heard(machine.name()), () -> {
            machine.agent().discardLastHeartbeatRecord();
            waiting.remove(machine).forEach(w -> w.answer.run());
        });
    }

    /** Refuses what has waited for too long; its worker asks again. */
    public void refuseExpired() {
        long before = environment.now() - DURABLE_MS;
        for (List<Waiting> reports : waiting.values()) {
            reports.removeIf(w -> {
                if (w.since < before) {
                    w.refuse.run();
                }
                return w.since < before;
            });
        }
    }

    /** Refuses all that waits. */
    public void close() {
        waiting.values().forEach(reports -> reports.forEach(w -> w.refuse.run()));
        waiting.clear();
    }
}
