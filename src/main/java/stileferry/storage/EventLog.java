package stileferry.storage;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import stileferry.protocol.MessageCodec;

/**
 * A ring of bounded records that hold events, so that many small changes cost one write. A full ring gives its oldest
 * record up in the same transaction that writes the new one; what is still needed of it goes into the new one. So the
 * records, read in the order of their numbers, always tell the whole state.
 */
public final class EventLog {
    static final String PREFIX = "l/";

    /** Records in the ring; a new leader reads them in a few pages. */
    static final int SLOTS = 1024;

    /** Share of the value limit that a record may take in JSON form. */
    private static final double FILL = 0.9;

    private static final int ROW_BYTES = 80;

    /** More than one event of an older form takes. */
    private static final int OLD_EVENT_BYTES = 128;

    private final Slot[] slots;
    private final ArrayDeque<Slot> older = new ArrayDeque<>();
    private final ArrayDeque<Pending> pending = new ArrayDeque<>();
    private final int mostBytes;
    private final String asidePrefix;
    private long setAside;
    private int pendingBytes;
    private long lastNumber;
    private boolean restored;

    /** One record as it is stored, with what it holds. */
    static final class Slot {
        final StoredEntry entry;
        long number;
        List<StoredEvent> events = List.of();

        /** Records that hold what was set aside of this one. */
        final List<Slot> aside = new ArrayList<>();

        ObjectNode value = MessageCodec.map();

        Slot(String key, long revision, long number) {
            this.entry = new StoredEntry(key, revision, () -> this.value);
            this.number = number;
        }
    }

    private record Pending(StoredEvent event, Runnable onDurable) {}

    /** What one transaction writes of the log, and whether the record it gives up held ends of claims. */
    public record Batch(
            StoredEntry put, List<StoredEntry> deletions, int bytes, List<Runnable> actions, boolean endsGivenUp) {}

    /**
     * A ring of so many records within the service's value limit.
     *
     * @param term what no other leader's keys begin with
     */
    public EventLog(double valueKb, int records, String term) {
        slots = new Slot[records];
        asidePrefix = PREFIX + "x" + term;
        mostBytes = (int) (valueKb * 1024 * FILL);
    }

    /** Takes a stored record in. */
    public void restore(String key, long revision, long number, List<StoredEvent> events) {
        restored = true;
        Slot slot = new Slot(key, revision, number);
        slot.events = events;
        lastNumber = Math.max(lastNumber, number);
        int at = at(key);
        if (at >= 0) {
            slots[at] = slot;
        } else {
            older.add(slot); // of another form or another ring's: copied and deleted before anything of the ring is
        }
    }

    /**
     * Records commit in any order, so the last leader may have left one that a lost record should have replaced. It is
     * older than the whole ring and has to go before anything of the ring: what ended its claims must outlive it.
     */
    private void sweep() {
        for (int i = 0; restored && i < slots.length; i++) {
            if (slots[i] != null && slots[i].number <= lastNumber - slots.length) {
                older.add(slots[i]);
                slots[i] = null;
            }
        }
        restored = false;
    }

    private int at(String key) {
        try {
            int at = key.startsWith(PREFIX) ? Integer.parseInt(key.substring(PREFIX.length())) : -1;
            return at < slots.length ? at : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** Queues an event; the action runs once it is durable. */
    public void append(StoredEvent event, Runnable onDurable) {
        pending.add(new Pending(event, onDurable));
        pendingBytes += event.maxBytes();
    }

    /** Whether anything waits to be written. */
    public boolean hasPending() {
        sweep();
        return !pending.isEmpty() || !older.isEmpty();
    }

    /** Records that what waits would fill. */
    public int backlog() {
        return pendingBytes / mostBytes;
    }

    /** The next record, in a transaction that has room for so many changes; null when the ring has to wait. */
    public Batch nextBatch(int changes) {
        sweep();
        int at = (int) ((lastNumber + 1) % slots.length);
        Slot slot = slots[at];
        if (slot == null) {
            slot = new Slot(PREFIX + at, 0, 0);
            slots[at] = slot;
        } else if (slot.entry.inFlight() || holdsEnds(slot) && anyFlyingBefore(at)) {
            return null;
        }
        int live =
                ROW_BYTES + live(slot).stream().mapToInt(StoredEvent::maxBytes).sum();
        if (live > mostBytes) {
            return setAside(slot);
        }
        if (slot.aside.stream().anyMatch(a -> a.entry.inFlight())) {
            return null; // what it holds is not certain to be elsewhere yet
        }
        boolean endsGivenUp = holdsEnds(slot);
        long number = ++lastNumber;
        List<StoredEvent> events = new ArrayList<>();
        int bytes = keep(slot.number, slot.events, number, events, ROW_BYTES);
        List<StoredEntry> deletions = new ArrayList<>();
        while (!older.isEmpty() && deletions.size() < changes - 1 && bytes < mostBytes / 2) {
            Slot old = older.peek();
            if (old.entry.inFlight()) {
                break;
            }
            int part = Math.min(old.events.size(), Math.max(1, (mostBytes - bytes) / OLD_EVENT_BYTES));
            bytes = keep(old.number, old.events.subList(0, part), number, events, bytes);
            old.events = old.events.subList(part, old.events.size());
            if (old.events.isEmpty()) {
                deletions.add(older.poll().entry);
            }
        }
        List<Runnable> actions = new ArrayList<>();
        while (!pending.isEmpty() && bytes + pending.peek().event.maxBytes() <= mostBytes) {
            Pending next = pending.poll();
            pendingBytes -= next.event.maxBytes();
            bytes += take(next.event, number, events);
            if (next.onDurable != null) {
                actions.add(next.onDurable);
            }
        }
        slot.number = number;
        slot.events = events;
        slot.aside.clear();
        slot.value = value(number, events);
        return new Batch(slot.entry, deletions, bytes, actions, endsGivenUp);
    }

    private static List<StoredEvent> live(Slot slot) {
        List<StoredEvent> live = new ArrayList<>();
        for (StoredEvent event : slot.events) {
            StoredEvent kept = event.retainedFrom(slot.number);
            if (kept != null) {
                live.add(kept);
            }
        }
        return live;
    }

    /**
     * A record written under a larger value limit may hold more than fits into one of today's. As much as fits is put
     * into a record beside the ring before the large one is given up. It holds no ends, so its order among the others
     * does not matter; it is copied into the ring and deleted like records of an older form, also by versions that
     * know only those. Its put compares that the large record still stands, so that it can't be carried out once more
     * after its deletion.
     */
    private Batch setAside(Slot large) {
        Slot aside = new Slot(asidePrefix + setAside++, 0, lastNumber);
        aside.entry.requireUnchanged(large.entry);
        List<StoredEvent> events = new ArrayList<>();
        int bytes = ROW_BYTES;
        for (StoredEvent event : live(large)) {
            if (bytes + event.maxBytes() > mostBytes) {
                break;
            }
            bytes += take(event, aside.number, events);
        }
        aside.events = events;
        aside.value = value(aside.number, events);
        large.aside.add(aside);
        older.add(aside);
        return new Batch(aside.entry, List.of(), bytes, List.of(), false);
    }

    private static ObjectNode value(long number, List<StoredEvent> events) {
        ObjectNode value = MessageCodec.map().put("n", number);
        ArrayNode list = value.putArray("e");
        events.forEach(e -> e.write(list.addArray()));
        return value;
    }

    private static boolean holdsEnds(Slot slot) {
        return slot.events.stream().anyMatch(StoredEvent::endsEarlierEvent);
    }

    /** Ends may only be given up when every older record certainly is: it might hold what they end. */
    private boolean anyFlyingBefore(int at) {
        for (int back = 1; back <= Math.min(CommitQueue.MAX_IN_FLIGHT, slots.length - 1); back++) {
            Slot before = slots[Math.floorMod(at - back, slots.length)];
            if (before != null && before.entry.inFlight()) {
                return true;
            }
        }
        return false;
    }

    private static int keep(long oldNumber, List<StoredEvent> held, long number, List<StoredEvent> events, int bytes) {
        int sum = bytes;
        for (StoredEvent event : held) {
            StoredEvent kept = event.retainedFrom(oldNumber);
            if (kept != null) {
                sum += take(kept, number, events);
            }
        }
        return sum;
    }

    private static int take(StoredEvent event, long number, List<StoredEvent> events) {
        events.add(event);
        event.recordedIn(number);
        return event.maxBytes();
    }
}
