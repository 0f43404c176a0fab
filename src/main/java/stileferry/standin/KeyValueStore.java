package stileferry.standin;

import static stileferry.protocol.KeyValueStoreProtocol.AFTER;
import static stileferry.protocol.KeyValueStoreProtocol.CHANGES;
import static stileferry.protocol.KeyValueStoreProtocol.COMMIT_PATH;
import static stileferry.protocol.KeyValueStoreProtocol.CONDITIONS;
import static stileferry.protocol.KeyValueStoreProtocol.DELETE;
import static stileferry.protocol.KeyValueStoreProtocol.KEY;
import static stileferry.protocol.KeyValueStoreProtocol.KEYS_PATH;
import static stileferry.protocol.KeyValueStoreProtocol.KEY_REVISION;
import static stileferry.protocol.KeyValueStoreProtocol.LEASE;
import static stileferry.protocol.KeyValueStoreProtocol.LEASES_PATH;
import static stileferry.protocol.KeyValueStoreProtocol.LEASE_DURATION_MS;
import static stileferry.protocol.KeyValueStoreProtocol.LIMIT;
import static stileferry.protocol.KeyValueStoreProtocol.MORE;
import static stileferry.protocol.KeyValueStoreProtocol.PREFIX;
import static stileferry.protocol.KeyValueStoreProtocol.PUT;
import static stileferry.protocol.KeyValueStoreProtocol.ROWS;
import static stileferry.protocol.KeyValueStoreProtocol.STORE_REVISION;
import static stileferry.protocol.KeyValueStoreProtocol.VALUE;
import static stileferry.protocol.KeyValueStoreProtocol.WAIT_MS;
import static stileferry.protocol.KeyValueStoreProtocol.WATCH_PATH;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import stileferry.protocol.Environment;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.WireNames;

/**
 * Stand-in for the consensus-backed key-value store; implements the published protocol. The caller passes in the time;
 * nothing runs in the background.
 */
public final class KeyValueStore {
    private static final String KEY_PATH = KEYS_PATH + "/";
    private static final String LEASE_PATH = LEASES_PATH + "/";
    private static final int MAX_ROWS = 1000;

    /** Maximum size of the rows of one page, in JSON form. */
    private static final int MAX_PAGE_BYTES = 512 * 1024;

    /** Comparisons allowed in a transaction per allowed operation. */
    private static final int COMPARISONS_PER_OPERATION = 4;

    private int maxOperations;
    private int maxValueBytes;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision;
    private long writtenKeyCount;
    private long lastLeaseId;
    private long now;
    private final ChangeLog changeLog = new ChangeLog(() -> revision);

    private record Entry(JsonNode value, long revision, long lease) {}

    private static final class Lease {
        private final long durationMs;
        private long expiresAt;

        Lease(long durationMs) {
            this.durationMs = durationMs;
        }

        void renew(long now) {
            expiresAt = now + durationMs;
        }
    }

    /**
     * Creates an empty store.
     *
     * @param maxOperations most operations of a transaction
     * @param maxValueKb greatest size of a value, in units of 1024 bytes
     */
    public KeyValueStore(int maxOperations, double maxValueKb) {
        setLimits(maxOperations, maxValueKb);
    }

    /** Changes the limits for later transactions; stored values remain readable. */
    public void setLimits(int newMaxOperations, double newMaxValueKb) {
        maxOperations = newMaxOperations;
        maxValueBytes = (int) (newMaxValueKb * 1024);
    }

    /** Returns the value of a key, or null if the key does not exist. */
    public JsonNode value(String key) {
        Entry entry = entries.get(key);
        return entry == null ? null : entry.value;
    }

    /** Returns how many puts and deletions transactions have made so far. */
    public long writtenKeyCount() {
        return writtenKeyCount;
    }

    /** Advances the time: leases and watches expire. */
    public void tick(long time) {
        now = time;
        for (Iterator<Map.Entry<Long, Lease>> iterator = leases.entrySet().iterator(); iterator.hasNext(); ) {
            Map.Entry<Long, Lease> lease = iterator.next();
            if (lease.getValue().expiresAt <= now) {
                iterator.remove();
                deleteEntriesOf(lease.getKey());
            }
        }
        changeLog.expireWatches(now);
    }

    /** Renews every lease for its full duration, as the store does after an outage. */
    public void renewAllLeases(long time) {
        now = time;
        leases.values().forEach(lease -> lease.renew(now));
    }

    /** Handles a request to the store; the reply to a watch may come later. */
    public void handleRequest(String method, String path, JsonNode body, Environment.ResponseHandler reply) {
        if (path.startsWith(KEY_PATH)) {
            get(path.substring(KEY_PATH.length()), reply);
        } else if (path.startsWith(KEYS_PATH + "?")) {
            reply.onResponse(200, list(QueryString.of(path)));
        } else if (path.startsWith(WATCH_PATH + "?")) {
            watch(QueryString.of(path), reply);
        } else if (path.equals(COMMIT_PATH)) {
            commit(body, reply);
        } else if (path.equals(LEASES_PATH)) {
            grantLease(body.path(LEASE_DURATION_MS).asLong(), reply);
        } else if (path.startsWith(LEASE_PATH)) {
            renewOrDeleteLease(
                    method, Long.parseLong(path.substring(LEASE_PATH.length()).split("/")[0]), reply);
        } else {
            reply.onResponse(400, null);
        }
    }

    private void get(String key, Environment.ResponseHandler reply) {
        Entry entry = entries.get(key);
        if (entry == null) {
            reply.onResponse(404, MessageCodec.map().put(STORE_REVISION, revision));
            return;
        }
        ObjectNode response = MessageCodec.map().put(KEY, key).put(KEY_REVISION, entry.revision);
        response.set(VALUE, entry.value);
        if (entry.lease != 0) {
            response.put(LEASE, entry.lease);
        }
        reply.onResponse(200, response);
    }

    private ObjectNode list(QueryString query) {
        String prefix = query.text(PREFIX);
        String afterKey = query.text(AFTER);
        long limit = Math.min(MAX_ROWS, query.number(LIMIT, MAX_ROWS));
        ObjectNode response = MessageCodec.map().put(STORE_REVISION, revision);
        ArrayNode rows = response.putArray(ROWS);
        SortedMap<String, Entry> candidates =
                afterKey.isEmpty() ? entries.tailMap(prefix, true) : entries.tailMap(afterKey, false);
        boolean more = false;
        int bytes = 0;
        for (Map.Entry<String, Entry> row : candidates.entrySet()) {
            if (!row.getKey().startsWith(prefix)) {
                break;
            }
            bytes += row.getValue().value.toString().length();
            if (rows.size() == limit || !rows.isEmpty() && bytes > MAX_PAGE_BYTES) {
                more = true;
                break;
            }
            rows.addObject()
                    .put(KEY, row.getKey())
                    .put(KEY_REVISION, row.getValue().revision)
                    .set(VALUE, row.getValue().value);
        }
        return response.put(MORE, more);
    }

    private void watch(QueryString query, Environment.ResponseHandler reply) {
        long expiresAt = now + query.number(WAIT_MS, 0);
        changeLog.watch(query.text(PREFIX), query.number(AFTER, 0), expiresAt, reply);
    }

    private void grantLease(long durationMs, Environment.ResponseHandler reply) {
        Lease lease = new Lease(durationMs);
        lease.renew(now);
        leases.put(++lastLeaseId, lease);
        reply.onResponse(200, MessageCodec.map().put(LEASE, lastLeaseId));
    }

    private void renewOrDeleteLease(String method, long id, Environment.ResponseHandler reply) {
        Lease lease = leases.get(id);
        if (lease == null) {
            reply.onResponse(404, null);
        } else if (method.equals("DELETE")) {
            leases.remove(id);
            deleteEntriesOf(id);
            reply.onResponse(200, MessageCodec.map());
        } else {
            lease.renew(now);
            reply.onResponse(200, MessageCodec.map());
        }
    }

    private void deleteEntriesOf(long lease) {
        for (String key : List.copyOf(entries.keySet())) {
            if (entries.get(key).lease == lease) {
                entries.remove(key);
                changeLog.recordDeletion(key, ++revision);
            }
        }
        changeLog.notifyWatches();
    }

    private void commit(JsonNode body, Environment.ResponseHandler reply) {
        JsonNode operations = body.path(CHANGES);
        if (exceedsLimits(body)) {
            reject("transaction too large", reply);
            return;
        }
        ArrayNode failed = failedComparisons(body.path(CONDITIONS));
        if (!failed.isEmpty()) {
            reply.onResponse(
                    409, MessageCodec.map().put(STORE_REVISION, revision).set("failed", failed));
            return;
        }
        String error = firstValidationError(operations);
        if (error != null) {
            reject(error, reply);
            return;
        }
        apply(operations);
        reply.onResponse(200, MessageCodec.map().put(STORE_REVISION, revision));
        changeLog.notifyWatches();
    }

    private boolean exceedsLimits(JsonNode body) {
        return body.path(CHANGES).size() > maxOperations
                || body.path(CONDITIONS).size() > COMPARISONS_PER_OPERATION * maxOperations
                || body.toString().length() > MessageCodec.MAX_BODY_BYTES;
    }

    private static void reject(String error, Environment.ResponseHandler reply) {
        reply.onResponse(400, MessageCodec.map().put(WireNames.ERROR, error));
    }

    private ArrayNode failedComparisons(JsonNode comparisons) {
        ArrayNode failed = MessageCodec.list();
        for (JsonNode comparison : comparisons) {
            Entry entry = entries.get(comparison.path(KEY).asText());
            long actual = entry == null ? 0 : entry.revision;
            if (actual != comparison.path(KEY_REVISION).asLong()) {
                failed.add(comparison.path(KEY));
            }
        }
        return failed;
    }

    /** Returns what is wrong with the first invalid operation, or null if all are valid. */
    private String firstValidationError(JsonNode operations) {
        for (JsonNode operation : operations) {
            if (operation.has(PUT) && operation.path(VALUE).toString().length() > maxValueBytes) {
                return "value too large";
            }
            long lease = operation.path(LEASE).asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return "no such lease";
            }
        }
        return null;
    }

    private void apply(JsonNode operations) {
        writtenKeyCount += operations.size();
        if (!operations.isEmpty()) {
            revision++;
        }
        for (JsonNode operation : operations) {
            if (operation.has(PUT)) {
                put(operation);
            } else {
                String key = operation.path(DELETE).asText();
                if (entries.remove(key) != null) {
                    changeLog.recordDeletion(key, revision);
                }
            }
        }
    }

    private void put(JsonNode operation) {
        String key = operation.path(PUT).asText();
        JsonNode value = operation.path(VALUE);
        entries.put(
                key, new Entry(value.deepCopy(), revision, operation.path(LEASE).asLong()));
        changeLog.recordPut(key, revision);
    }
}
