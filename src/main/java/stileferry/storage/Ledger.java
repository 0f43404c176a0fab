package stileferry.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.Environment;
import stileferry.protocol.MessageCodec;

/**
 * The leader's durable records. Changes are marked, packed into conditional transactions and answered once they
 * are durable. Every transaction compares the leader key and the revision of each key it writes, so that one sent
 * by a former leader, or applied late, changes nothing.
 */
public final class Ledger {
    private static final Logger LOG = LoggerFactory.getLogger("ledger");

    static final int MAX_IN_FLIGHT = 8;

    /** Changes that any transaction may hold: a record of events, and one key put while another is deleted. */
    private static final int LEAST_CHANGES = 3;

    /** The prefix of the records that hold events. */
    public static final String EVENTS = EventLog.PREFIX;

    /** Bytes of a transaction, counted in JSON form, kept well below the service's 64 KiB. */
    private static final int MAX_BYTES = MessageCodec.MAX_BODY * 3 / 4;

    private final Environment environment;
    private final StateClient state;
    private final String fenceKey;
    private final long fenceRevision;
    private final String stampPrefix;
    private final Runnable onLost;
    private final ArrayDeque<Entry> dirty = new ArrayDeque<>();
    private final EventLog events;
    private int inFlight;
    private long stamps;
    private boolean waiting;
    private boolean closed;

    /** A small change that shares a record with others. It is written once, and again when its record is given up. */
    public interface Event {
        /** Writes it into a record. */
        void write(ArrayNode into);

        /** Its size in JSON form, at most; no larger for what {@link #kept} returns. */
        int bytes();

        /** Notes the number of the record that holds it now. */
        void recorded(long record);

        /** What has to be written again when this record is given up; null: nothing. */
        Event kept(long record);

        /** Whether it ends what an older record may hold. */
        boolean ends();
    }

    /** One key; its value is made anew from the owner's state whenever it is written. */
    public static final class Entry {
        private final String key;
        private final Supplier<ObjectNode> value;
        private long revision;
        private boolean marked;
        private boolean flying;
        private boolean deleted;
        private Entry partner;
        private Entry guard;
        private List<Runnable> waiting = new ArrayList<>();

        /** A key with the revision last read (0: does not exist). */
        public Entry(String key, long revision, Supplier<ObjectNode> value) {
            this.key = key;
            this.revision = revision;
            this.value = value;
        }

        /**
         * Names a key that must stand as it does for this one to be written for the first time. Found with
         * transactions that were carried out late once more: a key that has been put and deleted since looks as if it
         * had never been.
         */
        public Entry guardedBy(Entry other) {
            guard = other;
            return this;
        }

        /** Names a key that must not exist for this one to be written for the first time. */
        public Entry excludes(String other) {
            return guardedBy(new Entry(other, 0, MessageCodec::map));
        }

        boolean flying() {
            return flying;
        }

        /** The key. */
        public String key() {
            return key;
        }

        /** The value as it would be written now. */
        public ObjectNode value() {
            return value.get();
        }
    }

    private static final class Transaction {
        final List<Entry> entries = new ArrayList<>();
        final Set<Entry> deletions = new HashSet<>();
        final List<Runnable> actions = new ArrayList<>();
        final ObjectNode body = MessageCodec.map();
        final String stamp;
        int bytes;
        boolean ambiguous;
        int tries;

        Transaction(String stamp) {
            this.stamp = stamp;
        }
    }

    /** A ledger for one term, fenced by the leader key at the revision it was written with. */
    public Ledger(
            Environment environment,
            StateClient state,
            String fenceKey,
            long fenceRevision,
            long term,
            Runnable onLost) {
        this.environment = environment;
        this.state = state;
        this.fenceKey = fenceKey;
        this.fenceRevision = fenceRevision;
        this.stampPrefix = Long.toString(term, 36) + "-";
        this.onLost = onLost;
        this.events = new EventLog(state.limits().valueKb(), EventLog.SLOTS, stampPrefix);
    }

    /** Takes in a record of events that was read from the service, in the order of their numbers. */
    public void restore(String key, long revision, long number, List<Event> held) {
        events.restore(key, revision, number, held);
    }

    /** Writes an event; the action runs once it is durable. */
    public void log(Event event, Runnable onDurable) {
        events.add(event, onDurable);
    }

    /** Marks a key as changed; the action runs once the change is durable. */
    public void put(Entry entry, Runnable onDurable) {
        mark(entry, onDurable);
    }

    /** Deletes a key. */
    public void delete(Entry entry, Runnable onDurable) {
        entry.deleted = true;
        mark(entry, onDurable);
    }

    /** Puts one key and deletes another in the same transaction. */
    public void move(Entry put, Entry delete, Runnable onDurable) {
        put.partner = delete;
        delete.partner = put;
        delete(delete, null);
        put(put, onDurable);
    }

    /** Changes not yet sent. */
    public int backlog() {
        return dirty.size() + events.backlog();
    }

    /** Transactions that were sent and have no known outcome. */
    public int inFlight() {
        return inFlight;
    }

    /** Stops everything; no action runs any more. */
    public void close() {
        closed = true;
        dirty.clear();
    }

    private void mark(Entry entry, Runnable onDurable) {
        if (onDurable != null) {
            entry.waiting.add(onDurable);
        }
        if (!entry.marked) {
            entry.marked = true;
            dirty.add(entry);
        }
    }

    /** Sends what is marked, as far as the service's rate allows; at low load nothing waits for anything else. */
    public void flush() {
        while (!closed && inFlight < MAX_IN_FLIGHT && (!dirty.isEmpty() || events.waits())) {
            int wanted = dirty.size() + (events.waits() ? 1 : 0);
            int room = state.writable();
            if (room < Math.min(Math.min(wanted, state.gather()), state.limits().txnOps())) {
                if (!waiting) {
                    waiting = true;
                    state.later(() -> {
                        waiting = false;
                        flush();
                    });
                }
                return;
            }
            Transaction t =
                    pack(Math.min(Math.max(LEAST_CHANGES, room), state.limits().txnOps()));
            if (t == null) {
                return;
            }
            inFlight++;
            send(t);
        }
    }

    private Transaction begin() {
        Transaction t = new Transaction(stampPrefix + Long.toString(stamps++, 36));
        ArrayNode conditions = t.body.putArray("if");
        conditions.addObject().put("path", fenceKey).put("entry_rev", fenceRevision);
        t.body.putArray("apply");
        return t;
    }

    private Transaction pack(int limit) {
        Transaction t = null;
        EventLog.Batch batch = events.waits() ? events.next(limit) : null;
        if (batch != null) {
            t = begin();
            add(t, batch.put(), batch.bytes());
            for (Entry old : batch.deletions()) {
                old.deleted = true;
                add(t, old, 0);
            }
            t.actions.addAll(batch.actions());
        }
        List<Entry> passed = new ArrayList<>();
        for (int n = dirty.size(); n > 0 && !dirty.isEmpty(); n--) {
            Entry entry = dirty.poll();
            if (!entry.marked) {
                continue; // went along with its partner
            }
            Entry partner = entry.partner != null && entry.partner.marked ? entry.partner : null;
            if (entry.flying || entry.partner != null && entry.partner.flying) {
                passed.add(entry);
                continue;
            }
            int need = partner == null ? 1 : 2;
            if (t == null) {
                t = begin();
            } else if (t.entries.size() + need > limit || t.bytes > MAX_BYTES / 2) {
                passed.add(entry);
                break;
            }
            add(t, entry, -1);
            if (partner != null) {
                add(t, partner, -1);
            }
        }
        for (int i = passed.size() - 1; i >= 0; i--) {
            dirty.addFirst(passed.get(i));
        }
        return t;
    }

    private void add(Transaction t, Entry entry, int knownBytes) {
        entry.marked = false;
        entry.flying = true;
        t.entries.add(entry);
        t.actions.addAll(entry.waiting);
        entry.waiting = new ArrayList<>();
        ArrayNode conditions = (ArrayNode) t.body.get("if");
        conditions.addObject().put("path", entry.key).put("entry_rev", entry.revision);
        if (entry.guard != null && entry.revision == 0) {
            conditions.addObject().put("path", entry.guard.key).put("entry_rev", entry.guard.revision);
        }
        ArrayNode apply = (ArrayNode) t.body.get("apply");
        if (entry.deleted) {
            apply.addObject().put("delete", entry.key);
            t.deletions.add(entry);
            t.bytes += 200;
        } else {
            ObjectNode value = entry.value.get().put("x", t.stamp);
            apply.addObject().put("put", entry.key).set("v", value);
            t.bytes += 200 + (knownBytes >= 0 ? knownBytes : value.toString().length());
        }
    }

    private void send(Transaction t) {
        if (closed) {
            return;
        }
        state.commit(t.body, t.entries.size(), false, (status, body) -> {
            if (closed) {
                return;
            }
            switch (status) {
                case 200 -> applied(t, body.path("ledger_rev").asLong());
                case 409 -> {
                    if (t.ambiguous) {
                        verify(t);
                    } else {
                        lost();
                    }
                }
                case 400 -> {
                    LOG.error("the state service calls a transaction malformed: {}", body);
                    lost();
                }
                default -> {
                    // 429 and 503 say that nothing was done; silence says nothing at all
                    t.ambiguous |= status != 429 && status != 503 && status != Environment.NOT_SENT;
                    again(t, () -> send(t));
                }
            }
        });
    }

    private void again(Transaction t, Runnable next) {
        long pause = Math.min(1000, 50L << Math.min(5, t.tries++));
        environment.after(pause / 2 + environment.random().nextLong(pause), next);
    }

    /**
     * Learns whether an unanswered transaction was the one that made its own repetition fail. It is applied whole or
     * not at all, so one of its keys tells.
     */
    private void verify(Transaction t) {
        if (closed) {
            return;
        }
        Entry entry = t.entries.stream()
                .filter(e -> !t.deletions.contains(e))
                .findFirst()
                .orElse(t.entries.get(0));
        state.get(entry.key, (status, body) -> {
            if (closed) {
                return;
            }
            boolean deleted = t.deletions.contains(entry);
            if (status == 404 && deleted) {
                applied(t, 0);
            } else if (status == 200 && !deleted && stamp(body).equals(t.stamp)) {
                applied(t, body.path("entry_rev").asLong());
            } else if (status == 200 || status == 404) {
                lost();
            } else {
                again(t, () -> verify(t));
            }
        });
    }

    private static String stamp(JsonNode body) {
        return body.path("v").path("x").asText();
    }

    private void applied(Transaction t, long revision) {
        inFlight--;
        for (Entry entry : t.entries) {
            entry.flying = false;
            // what was sent counts: the key may have been marked for deletion since
            entry.revision = t.deletions.contains(entry) ? 0 : revision;
        }
        t.actions.forEach(Runnable::run);
    }

    private void lost() {
        close();
        onLost.run();
    }
}
