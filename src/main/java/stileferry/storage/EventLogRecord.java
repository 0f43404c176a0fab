package stileferry.storage;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import stileferry.protocol.MessageCodec;

/** One stored record of the {@link EventLog}, with the events that it holds. */
final class EventLogRecord {
    private static final String NUMBER = "n";
    private static final String EVENTS = "e";

    /** Upper bound of the size of a record without its events, in JSON form. */
    private static final int MAX_RECORD_OVERHEAD_BYTES = 80;

    final StoredEntry entry;
    long number;
    List<StoredEvent> events;

    /** Overflow records with events copied from this record, because it is too large to be copied in one piece. */
    final List<EventLogRecord> overflow = new ArrayList<>();

    private boolean holdsTombstones;

    /** The value that the next write stores; null once it has been taken. */
    private ObjectNode value;

    EventLogRecord(String key, long revision, long number, List<StoredEvent> events) {
        this.entry = new StoredEntry(key, revision, this::takeValue);
        this.number = number;
        setEvents(events);
    }

    /** Returns the value once: a record is written once for each of its contents, and the tree is large. */
    private ObjectNode takeValue() {
        ObjectNode taken = value;
        value = null;
        return taken;
    }

    /** Keeps all events but tombstones, of which it only matters whether there are any. */
    private void setEvents(List<StoredEvent> newEvents) {
        holdsTombstones = newEvents.stream().anyMatch(StoredEvent::isTombstone);
        events = new ArrayList<>(newEvents);
        events.removeIf(StoredEvent::isTombstone);
    }

    /** Drops the events that need not be written again, which never become needed later. */
    void dropObsoleteEvents() {
        if (events.removeIf(event -> event.retainedFrom(number) == null)) {
            events = new ArrayList<>(events);
        }
    }

    /** Returns the events that must be written again when this record is overwritten. */
    List<StoredEvent> retainedEvents() {
        List<StoredEvent> retained = new ArrayList<>();
        for (StoredEvent event : events) {
            StoredEvent retainedEvent = event.retainedFrom(number);
            if (retainedEvent != null) {
                retained.add(retainedEvent);
            }
        }
        return retained;
    }

    /** Returns an upper bound of the size of a record that holds the events to be written again. */
    int retainedBytes() {
        return MAX_RECORD_OVERHEAD_BYTES
                + retainedEvents().stream().mapToInt(StoredEvent::maxBytes).sum();
    }

    boolean holdsTombstones() {
        return holdsTombstones;
    }

    boolean overflowInFlight() {
        return overflow.stream().anyMatch(record -> record.entry.inFlight());
    }

    /** Replaces the contents; the new value is what the next write of {@link #entry} stores. */
    void overwrite(Contents contents) {
        number = contents.number;
        setEvents(contents.events);
        value = contents.value();
        overflow.clear();
    }

    /** New contents of a record, built up before it is overwritten. */
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

        /** Adds those events of another record that must be written again. */
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
