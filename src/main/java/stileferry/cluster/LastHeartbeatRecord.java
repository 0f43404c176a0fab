package stileferry.cluster;

import com.fasterxml.jackson.databind.JsonNode;

/** A note of when a machine's last heartbeat was answered, and in which leader's term. */
public final class LastHeartbeatRecord {
    private final String machine;
    private final long incarnation;
    private final long answeredAt;
    private final long term;

    private long recordNumber;
    private boolean obsolete;

    /** A note that is not stored yet; {@code answeredAt}: the time of day in milliseconds. */
    public LastHeartbeatRecord(String machine, long incarnation, long answeredAt, long term) {
        this.machine = machine;
        this.incarnation = incarnation;
        this.answeredAt = answeredAt;
        this.term = term;
    }

    /** Reads the stored event. */
    public static LastHeartbeatRecord read(JsonNode event) {
        return new LastHeartbeatRecord(
                event.path(1).asText(),
                event.path(2).asLong(),
                event.path(3).asLong(),
                event.path(4).asLong());
    }

    /** Notes the number of the stored record that holds it now. */
    public void setRecordNumber(long number) {
        recordNumber = number;
    }

    /** Whether the stored record of this number holds it. */
    public boolean isStoredIn(long number) {
        return recordNumber == number;
    }

    public String machine() {
        return machine;
    }

    /** The incarnation of the machine's agent that was answered. */
    public long incarnation() {
        return incarnation;
    }

    /** When the heartbeat was answered, as a time of day in milliseconds. */
    public long answeredAt() {
        return answeredAt;
    }

    public long term() {
        return term;
    }

    /** Whether it need not be stored any more. */
    public boolean obsolete() {
        return obsolete;
    }

    void markObsolete() {
        obsolete = true;
    }
}
