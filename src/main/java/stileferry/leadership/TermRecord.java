package stileferry.leadership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import stileferry.protocol.KeyValue;
import stileferry.protocol.MessageCodec;

/**
 * The highest term as it is stored. Older versions, and controllers that do not count admissions, write it without
 * the second field, so a run of counting leaders ends with them.
 *
 * @param term the term; 0: there was none yet
 * @param admissionsCountedSince the first of the terms up to this one whose leaders have all counted admissions; 0:
 *     this one does not
 * @param revision of the key; 0: it does not exist
 */
public record TermRecord(long term, long admissionsCountedSince, long revision) {
    /** Nothing is stored. */
    static final TermRecord NONE = new TermRecord(0, 0, 0);

    private static final String TERM = "term";
    private static final String COUNTING_SINCE = "counting_since";

    /** Reads the record as it is stored. */
    public static TermRecord read(KeyValue row) {
        return new TermRecord(
                row.value().path(TERM).asLong(),
                row.value().path(COUNTING_SINCE).asLong(),
                row.revision());
    }

    /** The record of the next term, whose leader counts or not. */
    TermRecord next(long nextTerm, boolean counts) {
        long since = admissionsCountedSince > 0 ? admissionsCountedSince : nextTerm;
        return new TermRecord(nextTerm, counts ? since : 0, 0);
    }

    ObjectNode write() {
        ObjectNode value = MessageCodec.map().put(TERM, term);
        return admissionsCountedSince > 0 ? value.put(COUNTING_SINCE, admissionsCountedSince) : value;
    }
}
