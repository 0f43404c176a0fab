package stileferry.cluster;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.MessageCodec;

/** Counts and logs violations of invariants that a controller checks while it runs. */
public final class InvariantMonitor {
    private static final Logger LOG = LoggerFactory.getLogger("invariants");

    private final Map<Invariant, Long> violations = new EnumMap<>(Invariant.class);

    /** What must hold whatever fails; docs/design.md ("What must always hold") has the proofs. */
    public enum Invariant {
        /** A task has one assignment at a time. */
        ONE_ASSIGNMENT_PER_TASK,
        /** A start keeps the job's team within its limit, counting every task that may be on a machine. */
        START_WITHIN_TEAM_LIMIT,
        /** No task is started for the first time after its job's cancellation has been confirmed. */
        NO_START_AFTER_CONFIRMED_CANCELLATION,
        /** A machine that was told to forget an attempt never reports it again. */
        FORGOTTEN_ATTEMPT_STAYS_FORGOTTEN,
        /** A leader that holds its lease becomes ready to answer. */
        LEADER_BECOMES_READY,
        /** The leader holds its lease when an answer that it gives from its model has left. */
        LEASE_HELD_AS_ANSWER_LEAVES;

        private String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Records a violation; the detail says what violates the invariant, for the log line. */
    public void violated(Invariant invariant, String detail) {
        violations.merge(invariant, 1L, Long::sum);
        LOG.error("invariant violated: name={} {}", invariant.label(), detail);
    }

    /** Returns how often an invariant was violated since the process started. */
    public long count(Invariant invariant) {
        return violations.getOrDefault(invariant, 0L);
    }

    /** Returns the counts of all invariants as a part of a view of the administration API. */
    public ObjectNode describe() {
        ObjectNode view = MessageCodec.map();
        for (Invariant invariant : Invariant.values()) {
            view.put(invariant.label(), count(invariant));
        }
        return view;
    }
}
