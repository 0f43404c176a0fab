package stileferry.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import stileferry.protocol.MessageCodec;

/**
 * The highest term as it is stored. Versions that know nothing of counting, and controllers that do not count, write it
 * without the second field, so a run of counting leaders ends with them.
 *
 * @param term the term; 0: there was none yet
 * @param admissionsCountedSince the first of the terms up to this one whose leaders have all counted admissions; 0:
 *     this one does not
 * @param revision of the key; 0: it does not exist
 */
public record TermRecord(long term, long admissionsCountedSince, long revision) {
    /** Nothing is stored. */
    static final TermRecord NONE = new TermRecord(0, 0, 0);

    private static final String COUNTING_SINCE = "counting_since";

    public static TermRecord read(JsonNode value, long revision) {
        return new TermRecord(
                value.path("term").asLong(), value.path(COUNTING_SINCE).asLong(), revision);
    }

    /** The record of the next term, whose leader counts or not. */
    TermRecord next(long nextTerm, boolean counts) {
        long since = admissionsCountedSince > 0 ? admissionsCountedSince : nextTerm;
        return new TermRecord(nextTerm, counts ? since : 0, 0);
    }

    ObjectNode write() {
        ObjectNode value = MessageCodec.map().put("term", term);
        return admissionsCountedSince > 0 ? value.put(COUNTING_SINCE, admissionsCountedSince) : value;
    }
}
