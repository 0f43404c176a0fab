package stileferry.leadership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import stileferry.protocol.KeyValue;
import stileferry.protocol.MessageCodec;

/**
 * The stored record of the highest term. Leaders of older versions, and leaders that do not count admissions, write it
 * without {@code counting_since}, which ends an unbroken run of leaders that count admissions. A leader for which the
 * usual lease is long enough writes it without {@code lease_ms}.
 *
 * @param term the term, which is the highest token of its leader, or 0 if there has been none
 * @param admissionsCountedSince the first token of the unbroken run, up to this term, of leaders that count admissions;
 *     0 if the leader of this term does not count them
 * @param leaseMs the duration of the lease that leaders of this fleet need, in milliseconds, or 0 for the usual one
 * @param revision the revision of the key, or 0 if the key does not exist
 */
public record TermRecord(long term, long admissionsCountedSince, long leaseMs, long revision) {
    /** Represents a missing key. */
    static final TermRecord NONE = new TermRecord(0, 0, 0, 0);

    private static final String TERM = "term";
    private static final String COUNTING_SINCE = "counting_since";
    private static final String LEASE_MS = "lease_ms";

    /** Parses the record; missing fields become 0. */
    public static TermRecord read(KeyValue row) {
        return new TermRecord(
                row.value().path(TERM).asLong(),
                row.value().path(COUNTING_SINCE).asLong(),
                row.value().path(LEASE_MS).asLong(),
                row.revision());
    }

    /** Returns the record to store for the next term; {@code counts}: its leader counts admissions. */
    TermRecord next(FencingTokens tokens, boolean counts) {
        long since = admissionsCountedSince > 0 ? admissionsCountedSince : tokens.first();
        return new TermRecord(tokens.term(), counts ? since : 0, leaseMs, 0);
    }

    /** Returns the record of the same term with another duration of the lease that leaders need. */
    TermRecord withLeaseMs(long newLeaseMs) {
        return new TermRecord(term, admissionsCountedSince, newLeaseMs, revision);
    }

    /** Returns the same record as read or written at a revision. */
    TermRecord atRevision(long newRevision) {
        return new TermRecord(term, admissionsCountedSince, leaseMs, newRevision);
    }

    ObjectNode write() {
        ObjectNode value = MessageCodec.map().put(TERM, term);
        if (admissionsCountedSince > 0) {
            value.put(COUNTING_SINCE, admissionsCountedSince);
        }
        if (leaseMs > 0) {
            value.put(LEASE_MS, leaseMs);
        }
        return value;
    }
}
