package stileferry.storage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * A log of events, stored in a ring of records of limited size so that many small changes cost one write. When the ring
 * is full, the oldest record is overwritten; those of its events that are still needed are copied into the new record
 * in the same transaction. So the records, read in the order of their numbers, always hold the whole state.
 */
public final class EventLog {
    static final String PREFIX = "l/";

    /** Number of records in the ring; a new leader reads them in a few pages. */
    static final int SLOTS = 1024;

    private static final String OVERFLOW_KEY_INFIX = "x";
    private static final int NO_SLOT = -1;

    /** Maximum size of a record in JSON form, as a share of the store's value limit. */
    private static final double MAX_FILL_RATIO = 0.9;

    /** Upper bound of the size of one event of the legacy format. */
    private static final int MAX_LEGACY_EVENT_BYTES = 128;

    private final EventLogRecord[] ring;
    private final int maxRecordBytes;
    private final String overflowPrefix;

    /**
     * Records outside the ring. They are copied into the ring and deleted before anything that the ring holds is
     * overwritten.
     */
    private final ArrayDeque<EventLogRecord> toMigrate = new ArrayDeque<>();

    private final ArrayDeque<PendingEvent> pending = new ArrayDeque<>();
    private int pendingBytes;
    private long overflowRecords;
    private long lastNumber;
    private boolean staleRecordCheckDue;

    private record PendingEvent(StoredEvent event, Runnable onDurable) {}

    /** The part of the log that one transaction writes, and whether the record that it overwrites held tombstones. */
    public record Batch(
            StoredEntry put,
            List<StoredEntry> deletions,
            int bytes,
            List<Runnable> onDurable,
            boolean discardsTombstones) {}

    /**
     * Creates an empty log.
     *
     * @param maxValueKb the store's limit for the size of a value
     * @param records the number of records in the ring
     * @param leaderPrefix the start of this leader's overflow keys, which no other leader uses
     */
    public EventLog(double maxValueKb, int records, String leaderPrefix) {
        ring = new EventLogRecord[records];
        overflowPrefix = PREFIX + OVERFLOW_KEY_INFIX + leaderPrefix;
        maxRecordBytes = (int) (maxValueKb * 1024 * MAX_FILL_RATIO);
    }

    // ---- recovery

    /** Restores a record that was read from the store. */
    public void restore(String key, long revision, long number, List<StoredEvent> events) {
        staleRecordCheckDue = true;
        EventLogRecord record = new EventLogRecord(key, revision, number, events);
        lastNumber = Math.max(lastNumber, number);
        int slot = slotOf(key);
        if (slot == NO_SLOT) {
            toMigrate.add(record); // a record of the legacy format, or an overflow record
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
     * Moves stale records out of the ring so that they are migrated. Records commit in any order, so the last leader
     * may have left a record in place because the record that should have replaced it was lost. A stale record is older
     * than the whole ring and must be removed before anything in the ring: the tombstones of its assignments must
     * outlive it.
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

    // ---- pending events

    /** Queues an event; {@code onDurable}, which may be null, runs once it is durable. */
    public void append(StoredEvent event, Runnable onDurable) {
        pending.add(new PendingEvent(event, onDurable));
        pendingBytes += event.maxBytes();
    }

    /** Returns whether there are pending events or records to migrate. */
    public boolean hasPending() {
        migrateStaleRecords();
        return !pending.isEmpty() || !toMigrate.isEmpty();
    }

    /** Returns the number of whole records that the pending events would fill. */
    public int backlog() {
        return pendingBytes / maxRecordBytes;
    }

    // ---- writing

    /**
     * Returns the next record to write, or null if the log has to wait for transactions in flight.
     *
     * @param maxChanges the number of changes that the transaction can still hold
     */
    public Batch nextBatch(int maxChanges) {
        migrateStaleRecords();
        int slot = (int) ((lastNumber + 1) % ring.length);
        if (ring[slot] == null) {
            ring[slot] = new EventLogRecord(PREFIX + slot, 0, 0, List.of());
        }
        dropObsoleteEvents(slot + ring.length / 2);
        EventLogRecord record = ring[slot];
        if (record.entry.inFlight() || record.holdsTombstones() && earlierRecordInFlight(slot)) {
            return null;
        }
        if (record.retainedBytes() > maxRecordBytes) {
            return copyToOverflow(record);
        }
        if (record.overflowInFlight()) {
            return null; // the copies of its events may not be durable yet
        }
        return overwrite(record, maxChanges);
    }

    /** Frees the memory of obsolete events half a turn of the ring before their record is overwritten. */
    private void dropObsoleteEvents(int position) {
        EventLogRecord record = ring[position % ring.length];
        if (record != null) {
            record.dropObsoleteEvents();
        }
    }

    /**
     * Returns whether a record before the slot is in flight. Tombstones may be dropped only once every older record has
     * certainly been overwritten, since it might hold the events that they make obsolete.
     */
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
        boolean discardsTombstones = record.holdsTombstones();
        EventLogRecord.Contents contents = new EventLogRecord.Contents(++lastNumber);
        contents.retain(record.number, record.events);
        List<StoredEntry> deletions = migrateInto(contents, maxChanges - 1);
        List<Runnable> onDurable = movePendingInto(contents);
        record.overwrite(contents);
        return new Batch(record.entry, deletions, contents.bytes(), onDurable, discardsTombstones);
    }

    /**
     * Copies events that are still needed from records outside the ring. Returns the entries of the records that have
     * been copied completely and are to be deleted.
     */
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
     * Copies events of a record that is too large to be retained in one record into an overflow record outside the
     * ring. A record written under a larger value limit may hold more than fits under the current limit; as much as
     * fits is copied before the oversized record is overwritten. The overflow record holds no tombstones, so its order
     * relative to other records does not matter. It is copied into the ring and deleted like a record of the legacy
     * format, also by versions that know only that format. Its put compares the oversized record's revision, so that it
     * can't be applied a second time after the overflow record has been deleted.
     */
    private Batch copyToOverflow(EventLogRecord oversized) {
        EventLogRecord overflow = new EventLogRecord(overflowPrefix + overflowRecords++, 0, lastNumber, List.of());
        overflow.entry.requireUnchanged(oversized.entry);
        EventLogRecord.Contents contents = new EventLogRecord.Contents(lastNumber);
        for (StoredEvent event : oversized.retainedEvents()) {
            if (!contents.hasRoomFor(event, maxRecordBytes)) {
                break;
            }
            contents.add(event);
        }
        overflow.overwrite(contents);
        oversized.overflow.add(overflow);
        toMigrate.add(overflow);
        return new Batch(overflow.entry, List.of(), contents.bytes(), List.of(), false);
    }
}
