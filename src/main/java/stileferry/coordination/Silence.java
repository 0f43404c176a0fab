package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;

/** One machine's silence: when a report of it was last answered, and by which leader. */
final class Silence {
    final String machine;
    final long session;
    final long answeredAt;
    final long term;

    /** The number of the stored record that holds it. */
    private long record;

    /** It need not be stored any more. */
    boolean over;

    Silence(String machine, long session, long answeredAt, long term) {
        this.machine = machine;
        this.session = session;
        this.answeredAt = answeredAt;
        this.term = term;
    }

    /** Notes the number of the stored record that holds it now. */
    void stored(long number) {
        record = number;
    }

    /** Whether the stored record of this number holds it. */
    boolean storedIn(long number) {
        return record == number;
    }

    static Silence read(JsonNode e) {
        return new Silence(
                e.path(1).asText(),
                e.path(2).asLong(),
                e.path(3).asLong(),
                e.path(4).asLong());
    }
}
