package stileferry.cluster;

import com.fasterxml.jackson.databind.JsonNode;

/** A durable record of when the leader last responded to a machine's heartbeat, and in which term. */
public final class LastHeartbeatRecord {
    private final String machine;
    private final long incarnation;
    private final long answeredAt;
    private final long term;

    private long recordNumber;
    private boolean obsolete;

    /**
     * Creates a record that is not stored yet.
     *
     * @param incarnation the incarnation of the machine's agent
     * @param answeredAt the wall-clock time of the response, in milliseconds since the epoch
     * @param term the term of the leader that responded
     */
    public LastHeartbeatRecord(String machine, long incarnation, long answeredAt, long term) {
        this.machine = machine;
        this.incarnation = incarnation;
        this.answeredAt = answeredAt;
        this.term = term;
    }

    /** Reads a record from its stored event. */
    public static LastHeartbeatRecord read(JsonNode event) {
        return new LastHeartbeatRecord(
                event.path(1).asText(),
                event.path(2).asLong(),
                event.path(3).asLong(),
                event.path(4).asLong());
    }

    /** Sets the number of the event log record that now contains this one. */
    public void setRecordNumber(long number) {
        recordNumber = number;
    }

    /** Returns whether the event log record with this number contains this one. */
    public boolean isStoredIn(long number) {
        return recordNumber == number;
    }

    public String machine() {
        return machine;
    }

    /** Returns the incarnation of the machine's agent that sent the heartbeat. */
    public long incarnation() {
        return incarnation;
    }

    /** Returns the wall-clock time of the response to the heartbeat, in milliseconds since the epoch. */
    public long answeredAt() {
        return answeredAt;
    }

    public long term() {
        return term;
    }

    /** Returns whether this record no longer needs to be kept in the store. */
    public boolean obsolete() {
        return obsolete;
    }

    void markObsolete() {
        obsolete = true;
    }
}
