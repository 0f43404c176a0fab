package stileferry.storage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * A ring of bounded records that hold events, so that many small changes cost one write. A full ring overwrites its
 * oldest record; what is still needed of it goes into the new one, in the same transaction. So the records, read in
 * the order of their numbers, always hold the whole state.
 */
public final class EventLog {
    static final String PREFIX = "l/";

    /** Records in the ring; a new leader reads them in a few pages. */
    static final int SLOTS = 1024;

    private static final String OVERFLOW_KEY_INFIX = "x";
    private static final int NO_SLOT = -1;

    /** Share of the value limit that a record may take in JSON form. */
    private static final double MAX_FILL_RATIO = 0.9;

    /** More than one event of an older form takes. */
    private static final int MAX_LEGACY_EVENT_BYTES = 128;

    private final EventLogRecord[] ring;
    private final int maxRecordBytes;
    private final String overflowPrefix;

    /** Records that are not in the ring: copied into it and deleted before anything of the ring is overwritten. */
    private final ArrayDeque<EventLogRecord> toMigrate = new ArrayDeque<>();

    private final ArrayDeque<PendingEvent> pending = new ArrayDeque<>();
    private int pendingBytes;
    private long overflowRecords;
    private long lastNumber;
    private boolean staleRecordCheckDue;

    private record PendingEvent(StoredEvent event, Runnable onDurable) {}

    /** What one transaction writes of the log, and whether the record that it overwrites held ends of assignments. */
    public record Batch(
            StoredEntry put,
            List<StoredEntry> deletions,
            int bytes,
            List<Runnable> onDurable,
            boolean discardsTombstones) {}

    /**
     * A ring of so many records within the store's value limit.
     *
     * @param term what no other leader's keys begin with
     */
    public EventLog(double maxValueKb, int records, String term) {
        ring = new EventLogRecord[records];
        overflowPrefix = PREFIX + OVERFLOW_KEY_INFIX + term;
        maxRecordBytes = (int) (maxValueKb * 1024 * MAX_FILL_RATIO);
    }

    // ---- what was stored before

    /** Takes in a stored record. */
    public void restore(String key, long revision, long number, List<StoredEvent> events) {
        staleRecordCheckDue = true;
        EventLogRecord record = new EventLogRecord(key, revision, number, events);
        lastNumber = Math.max(lastNumber, number);
        int slot = slotOf(key);
        if (slot == NO_SLOT) {
            toMigrate.add(record); // of an older form, or an overflow record
        } else {
            ring[slot] = record;
        }
    }

    private int slotOf(String key) {
        if (!key.startsWith(PREFIX)) {
            return NO_SLOT;
        }
        try {
            int slot = Integer.parseInt(key.substring(PREFIX.length()));
            return slot >= 0 && slot < ring.length ? slot : NO_SLOT;
        } catch (NumberFormatException e) {
            return NO_SLOT; // an overflow record
        }
    }

    /**
     * Records commit in any order, so the last leader may have left one that a lost record should have replaced. It is
     * older than the whole ring and has to go before anything of the ring: what ended its assignments must outlive it.
     */
    private void migrateStaleRecords() {
        if (!staleRecordCheckDue) {
            return;
        }
        staleRecordCheckDue = false;
        for (int slot = 0; slot < ring.length; slot++) {
            if (ring[slot] != null && ring[slot].number <= lastNumber - ring.length) {
                toMigrate.add(ring[slot]);
                ring[slot] = null;
            }
        }
    }

    // ---- what waits

    /** Queues an event; the action (null: none) runs once it is durable. */
    public void append(StoredEvent event, Runnable onDurable) {
        pending.add(new PendingEvent(event, onDurable));
        pendingBytes += event.maxBytes();
    }

    /** Whether anything waits to be written. */
    public boolean hasPending() {
        migrateStaleRecords();
        return !pending.isEmpty() || !toMigrate.isEmpty();
    }

    /** Records that the pending events would fill. */
    public int backlog() {
        return pendingBytes / maxRecordBytes;
    }

    // ---- writing

    /** The next record, in a transaction that has room for so many changes; null when the ring has to wait. */
    public Batch nextBatch(int maxChanges) {
        migrateStaleRecords();
        int slot = (int) ((lastNumber + 1) % ring.length);
        if (ring[slot] == null) {
            ring[slot] = new EventLogRecord(PREFIX + slot, 0, 0, List.of());
        }
        EventLogRecord record = ring[slot];
        if (record.entry.inFlight() || record.holdsTombstones() && earlierRecordInFlight(slot)) {
            return null;
        }
        if (record.retainedBytes() > maxRecordBytes) {
            return copyToOverflow(record);
        }
        if (record.overflowInFlight()) {
            return null; // what it holds is not certain to be elsewhere yet
        }
        return overwrite(record, maxChanges);
    }

    /** Ends may only be given up when every older record certainly is: it might hold what they end. */
    private boolean earlierRecordInFlight(int slot) {
        for (int back = 1; back <= Math.min(CommitQueue.MAX_IN_FLIGHT, ring.length - 1); back++) {
            EventLogRecord earlier = ring[Math.floorMod(slot - back, ring.length)];
            if (earlier != null && earlier.entry.inFlight()) {
                return true;
            }
        }
        return false;
    }

    private Batch overwrite(EventLogRecord record, int maxChanges) {
        boolean endsGivenUp = record.holdsTombstones();
        EventLogRecord.Contents contents = new EventLogRecord.Contents(++lastNumber);
        contents.retain(record.number, record.events);
        List<StoredEntry> deletions = migrateInto(contents, maxChanges - 1);
        List<Runnable> onDurable = movePendingInto(contents);
        record.overwrite(contents);
        return new Batch(record.entry, deletions, contents.bytes(), onDurable, endsGivenUp);
    }

    /** Copies what is needed of records outside the ring; returns those that are copied whole, to be deleted. */
    private List<StoredEntry> migrateInto(EventLogRecord.Contents contents, int maxDeletions) {
        List<StoredEntry> deletions = new ArrayList<>();
        while (!toMigrate.isEmpty() && deletions.size() < maxDeletions && contents.bytes() < maxRecordBytes / 2) {
            EventLogRecord old = toMigrate.peek();
            if (old.entry.inFlight()) {
                break;
            }
            int room = Math.max(1, (maxRecordBytes - contents.bytes()) / MAX_LEGACY_EVENT_BYTES);
            int copied = Math.min(old.events.size(), room);
            contents.retain(old.number, old.events.subList(0, copied));
            old.events = old.events.subList(copied, old.events.size());
            if (old.events.isEmpty()) {
                deletions.add(toMigrate.poll().entry);
            }
        }
        return deletions;
    }

    private List<Runnable> movePendingInto(EventLogRecord.Contents contents) {
        List<Runnable> onDurable = new ArrayList<>();
        while (!pending.isEmpty() && contents.hasRoomFor(pending.peek().event, maxRecordBytes)) {
            PendingEvent next = pending.poll();
            pendingBytes -= next.event.maxBytes();
            contents.add(next.event);
            if (next.onDurable != null) {
                onDurable.add(next.onDurable);
            }
        }
        return onDurable;
    }

    /**
     * A record written under a larger value limit may hold more than fits into one of today's. As much as fits is put
     * into a record beside the ring before the large one is overwritten. It holds no ends, so its order among the
     * others does not matter; it is copied into the ring and deleted like records of an older form, also by versions
     * that know only those. Its put compares that the large record still stands, so that it can't be carried out once
     * more after its deletion.
     */
    private Batch copyToOverflow(EventLogRecord large) {
        EventLogRecord overflow = new EventLogRecord(overflowPrefix + overflowRecords++, 0, lastNumber, List.of());
        overflow.entry.requireUnchanged(large.entry);
        EventLogRecord.Contents contents = new EventLogRecord.Contents(lastNumber);
        for (StoredEvent event : large.retainedEvents()) {
            if (!contents.hasRoomFor(event, maxRecordBytes)) {
                break;
            }
            contents.add(event);
        }
        overflow.overwrite(contents);
        large.overflow.add(overflow);
        toMigrate.add(overflow);
        return new Batch(overflow.entry, List.of(), contents.bytes(), List.of(), false);
    }
}
