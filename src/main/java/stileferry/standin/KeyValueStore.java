package stileferry.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import stileferry.protocol.Environment;
import stileferry.protocol.MessageCodec;

/** A stand-in for the state service, after the published protocol. Time comes from outside; nothing runs by itself. */
public final class KeyValueStore {
    private int opsMost;
    private int valueBytesMost;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final List<Change> writtenKeys = new ArrayList<>();
    private long revision;
    private long written;
    private long leaseIds;
    private long now;

    private record Item(JsonNode value, long revision, long lease) {}

    private record Change(String key, JsonNode value, long revision) {}

    private record Watch(String prefix, long from, long until, Environment.ResponseHandler reply) {}

    private static final class Lease {
        long lifeMs;
        long endsAt;
    }

    /** A service with the settings' limits on operations in a transaction and on the size of a value. */
    public KeyValueStore(int opsMost, double valueKb) {
        setLimits(opsMost, valueKb);
    }

    /** Other limits from now on; what is stored stays readable. */
    public void setLimits(int operations, double valueKb) {
        opsMost = operations;
        valueBytesMost = (int) (valueKb * 1024);
    }

    /** The value of a key, or null. */
    public JsonNode value(String key) {
        Item item = items.get(key);
        return item == null ? null : item.value;
    }

    /** How many keys were put or deleted so far. */
    public long writtenKeys() {
        return written;
    }

    /** Lets time pass: leases end and watches run out. */
    public void tick(long time) {
        now = time;
        for (Iterator<Map.Entry<Long, Lease>> it = leases.entrySet().iterator(); it.hasNext(); ) {
            Map.Entry<Long, Lease> entry = it.next();
            if (entry.getValue().endsAt <= now) {
                it.remove();
                dropKeys(entry.getKey());
            }
        }
        for (Watch w : List.copyOf(watches)) {
            if (w.until <= now) {
                watches.remove(w);
                w.reply.onResponse(200, changesSince(w.prefix, w.from));
            }
        }
    }

    /** An outage is over: every lease has its full time again. */
    public void renewAllLeases(long time) {
        now = time;
        leases.values().forEach(l -> l.endsAt = now + l.lifeMs);
    }

    /** Carries a request out. */
    public void request(String method, String path, JsonNode body, Environment.ResponseHandler reply) {
        if (path.startsWith("/kv/")) {
            Item item = items.get(path.substring(4));
            if (item == null) {
                reply.onResponse(404, MessageCodec.map().put("ledger_rev", revision));
            } else {
                ObjectNode n = MessageCodec.map().put("path", path.substring(4)).put("entry_rev", item.revision);
                n.set("v", item.value);
                if (item.lease != 0) {
                    n.put("mooring", item.lease);
                }
                reply.onResponse(200, n);
            }
        } else if (path.startsWith("/kv?")) {
            reply.onResponse(200, read(QueryString.of(path)));
        } else if (path.startsWith("/watch?")) {
            QueryString q = QueryString.of(path);
            ObjectNode seen = changesSince(q.text("starts"), q.number("from", 0));
            if (!seen.path("events").isEmpty()) {
                reply.onResponse(200, seen);
            } else {
                watches.add(new Watch(q.text("starts"), q.number("from", 0), now + q.number("block_ms", 0), reply));
            }
        } else if (path.equals("/commit")) {
            commit(body, reply);
        } else if (path.equals("/leases")) {
            Lease lease = new Lease();
            lease.lifeMs = body.path("life_ms").asLong();
            lease.endsAt = now + lease.lifeMs;
            leases.put(++leaseIds, lease);
            reply.onResponse(200, MessageCodec.map().put("mooring", leaseIds));
        } else if (path.startsWith("/leases/")) {
            String[] parts = path.split("/");
            lease(method, Long.parseLong(parts[2]), reply);
        } else {
            reply.onResponse(400, null);
        }
    }

    private void lease(String method, long id, Environment.ResponseHandler reply) {
        Lease lease = leases.get(id);
        if (lease == null) {
            reply.onResponse(404, null);
        } else if (method.equals("DELETE")) {
            leases.remove(id);
            dropKeys(id);
            reply.onResponse(200, MessageCodec.map());
        } else {
            lease.endsAt = now + lease.lifeMs;
            reply.onResponse(200, MessageCodec.map());
        }
    }

    private void dropKeys(long lease) {
        for (String key : List.copyOf(items.keySet())) {
            if (items.get(key).lease == lease) {
                items.remove(key);
                writtenKeys.add(new Change(key, null, ++revision));
            }
        }
        wake();
    }

    private ObjectNode read(QueryString q) {
        String prefix = q.text("starts");
        String from = q.text("from");
        long most = Math.min(1000, q.number("most", 1000));
        ObjectNode answer = MessageCodec.map().put("ledger_rev", revision);
        ArrayNode rows = answer.putArray("rows");
        boolean more = false;
        for (Map.Entry<String, Item> entry :
                items.tailMap(from.isEmpty() ? prefix : from, from.isEmpty()).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (rows.size() == most) {
                more = true;
                break;
            }
            rows.addObject()
                    .put("path", entry.getKey())
                    .put("entry_rev", entry.getValue().revision)
                    .set("v", entry.getValue().value);
        }
        return answer.put("more", more);
    }

    private ObjectNode changesSince(String prefix, long from) {
        ObjectNode answer = MessageCodec.map().put("ledger_rev", revision);
        ArrayNode events = answer.putArray("events");
        for (Change c : writtenKeys) {
            if (c.revision > from && c.key.startsWith(prefix)) {
                events.addObject()
                        .put(c.value == null ? "delete" : "put", c.key)
                        .put("entry_rev", c.revision);
            }
        }
        return answer;
    }

    private void commit(JsonNode body, Environment.ResponseHandler reply) {
        JsonNode apply = body.path("apply");
        if (apply.size() > opsMost
                || body.path("if").size() > 4 * opsMost
                || body.toString().length() > MessageCodec.MAX_BODY) {
            reply.onResponse(400, MessageCodec.map().put("error", "transaction too large"));
            return;
        }
        ArrayNode failed = MessageCodec.list();
        for (JsonNode c : body.path("if")) {
            Item item = items.get(c.path("path").asText());
            if ((item == null ? 0 : item.revision) != c.path("entry_rev").asLong()) {
                failed.add(c.path("path"));
            }
        }
        if (!failed.isEmpty()) {
            reply.onResponse(409, MessageCodec.map().put("ledger_rev", revision).set("failed", failed));
            return;
        }
        for (JsonNode op : apply) {
            long lease = op.path("mooring").asLong();
            if (op.has("put") && op.path("v").toString().length() > valueBytesMost) {
                reply.onResponse(400, MessageCodec.map().put("error", "value too large"));
                return;
            }
            if (lease != 0 && !leases.containsKey(lease)) {
                reply.onResponse(400, MessageCodec.map().put("error", "no such lease"));
                return;
            }
        }
        written += apply.size();
        if (!apply.isEmpty()) {
            revision++;
        }
        for (JsonNode op : apply) {
            if (op.has("put")) {
                items.put(
                        op.path("put").asText(),
                        new Item(
                                op.path("v").deepCopy(),
                                revision,
                                op.path("mooring").asLong()));
                writtenKeys.add(new Change(op.path("put").asText(), op.path("v"), revision));
            } else if (items.remove(op.path("delete").asText()) != null) {
                writtenKeys.add(new Change(op.path("delete").asText(), null, revision));
            }
        }
        reply.onResponse(200, MessageCodec.map().put("ledger_rev", revision));
        wake();
    }

    private void wake() {
        for (Watch w : List.copyOf(watches)) {
            ObjectNode seen = changesSince(w.prefix, w.from);
            if (!seen.path("events").isEmpty()) {
                watches.remove(w);
                w.reply.onResponse(200, seen);
            }
        }
        while (writtenKeys.size() > 10_000) {
            writtenKeys.remove(0);
        }
    }
}
