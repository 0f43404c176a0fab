package stileferry.storage;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import stileferry.protocol.MessageCodec;

/** One record of the {@link EventLog} as it is stored, with the events that it holds. */
final class EventLogRecord {
    private static final String NUMBER = "n";
    private static final String EVENTS = "e";

    /** More than a record takes beside its events, in JSON form. */
    private static final int MAX_RECORD_OVERHEAD_BYTES = 80;

    final StoredEntry entry;
    long number;
    List<StoredEvent> events;

    /** Records that hold what was copied out of this one because it is too large to be copied whole. */
    final List<EventLogRecord> overflow = new ArrayList<>();

    private ObjectNode value = MessageCodec.map();

    EventLogRecord(String key, long revision, long number, List<StoredEvent> events) {
        this.entry = new StoredEntry(key, revision, () -> this.value);
        this.number = number;
        this.events = events;
    }

    /** The events that must be written again when this record is overwritten. */
    List<StoredEvent> retainedEvents() {
        List<StoredEvent> retained = new ArrayList<>();
        for (StoredEvent event : events) {
            StoredEvent kept = event.retainedFrom(number);
            if (kept != null) {
                retained.add(kept);
            }
        }
        return retained;
    }

    /** The size of a record that holds what must be written again. */
    int retainedBytes() {
        return MAX_RECORD_OVERHEAD_BYTES
                + retainedEvents().stream().mapToInt(StoredEvent::maxBytes).sum();
    }

    boolean holdsTombstones() {
        return events.stream().anyMatch(StoredEvent::isTombstone);
    }

    boolean overflowInFlight() {
        return overflow.stream().anyMatch(record -> record.entry.inFlight());
    }

    /** Takes over what the record holds from now on. */
    void overwrite(Contents contents) {
        number = contents.number;
        events = contents.events;
        value = contents.value();
        overflow.clear();
    }

    /** What a record is going to hold. */
    static final class Contents {
        private final long number;
        private final List<StoredEvent> events = new ArrayList<>();
        private int bytes = MAX_RECORD_OVERHEAD_BYTES;

        Contents(long number) {
            this.number = number;
        }

        int bytes() {
            return bytes;
        }

        boolean hasRoomFor(StoredEvent event, int maxBytes) {
            return bytes + event.maxBytes() <= maxBytes;
        }

        void add(StoredEvent event) {
            events.add(event);
            event.recordedIn(number);
            bytes += event.maxBytes();
        }

        /** Adds what must be written again of events of another record. */
        void retain(long oldNumber, List<StoredEvent> oldEvents) {
            for (StoredEvent event : oldEvents) {
                StoredEvent retained = event.retainedFrom(oldNumber);
                if (retained != null) {
                    add(retained);
                }
            }
        }

        private ObjectNode value() {
            ObjectNode value = MessageCodec.map().put(NUMBER, number);
            ArrayNode list = value.putArray(EVENTS);
            events.forEach(event -> event.write(list.addArray()));
            return value;
        }
    }
}
