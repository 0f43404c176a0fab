package stileferry.cluster;

import com.fasterxml.jackson.databind.JsonNode;

/** One machine's silence: when a report of it was last answered, and by which leader. */
public final class LastHeartbeatRecord {
    private final String machine;
    private final long incarnation;
    private final long answeredAt;
    private final long term;

    /** The number of the stored record that holds it. */
    private long recordNumber;

    /** It need not be stored any more. */
    private boolean obsolete;

    public LastHeartbeatRecord(String machine, long session, long answeredAt, long term) {
        this.machine = machine;
        this.incarnation = session;
        this.answeredAt = answeredAt;
        this.term = term;
    }

    /** Notes the number of the stored record that holds it now. */
    public void stored(long number) {
        recordNumber = number;
    }

    /** Whether the stored record of this number holds it. */
    public boolean storedIn(long number) {
        return recordNumber == number;
    }

    public static LastHeartbeatRecord read(JsonNode e) {
        return new LastHeartbeatRecord(
                e.path(1).asText(),
                e.path(2).asLong(),
                e.path(3).asLong(),
                e.path(4).asLong());
    }

    public String machine() {
        return machine;
    }

    public long incarnation() {
        return incarnation;
    }

    public long answeredAt() {
        return answeredAt;
    }

    public long term() {
        return term;
    }

    /** It need not be stored any more. */
    public boolean obsolete() {
        return obsolete;
    }

    public void setObsolete(boolean over) {
        this.obsolete = over;
    }
}
