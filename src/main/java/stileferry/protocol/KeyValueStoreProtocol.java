package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The HTTP API of the key-value store: paths, field names, request bodies and typed responses. No other class of a
 * controller contains these names, and the key-value store's stand-in uses them from here.
 */
public final class KeyValueStoreProtocol {
    /** The path to which a {@link CommitRequest} is sent. */
    public static final String COMMIT_PATH = "/commit";

    /** The path that grants leases. */
    public static final String LEASES_PATH = "/leases";

    /** The path that lists keys; below it are the paths of single keys. */
    public static final String KEYS_PATH = "/kv";

    /** The path of watches, which wait for changes. */
    public static final String WATCH_PATH = "/watch";

    /** A key, in a condition of a transaction or in a row of a response. */
    public static final String KEY = "path";

    /** The value of a key, in a change of a transaction or in a row of a response. */
    public static final String VALUE = "v";

    /** The revision at which a key was last changed. */
    public static final String KEY_REVISION = "entry_rev";

    /** The current revision of the whole store. */
    public static final String STORE_REVISION = "ledger_rev";

    /** The id of a lease. */
    public static final String LEASE = "mooring";

    /** The requested duration of a lease in milliseconds. */
    public static final String LEASE_DURATION_MS = "life_ms";

    /** The conditions of a transaction. */
    public static final String CONDITIONS = "if";

    /** The changes of a transaction, applied if all of its conditions hold. */
    public static final String CHANGES = "apply";

    /** The key that a change writes. */
    public static final String PUT = "put";

    /** The key that a change deletes. */
    public static final String DELETE = "delete";

    /** The rows of a page of a scan. */
    public static final String ROWS = "rows";

    /** Whether more rows follow after a page. */
    public static final String MORE = "more";

    /** The changes that a watch has seen. */
    public static final String EVENTS = "events";

    /** The query parameter for the prefix of the keys to list or watch. */
    public static final String PREFIX = "starts";

    /** The query parameter for the key after which a list begins, or the revision after which a watch begins. */
    public static final String AFTER = "from";

    /** The query parameter for the maximum number of rows of a page. */
    public static final String LIMIT = "most";

    /** The query parameter for the maximum time that a watch waits, in milliseconds. */
    public static final String WAIT_MS = "block_ms";

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private KeyValueStoreProtocol() {}

    // ---- paths

    /** Returns the path that reads one key; slashes in the key are not escaped. */
    public static String keyPath(String key) {
        return KEYS_PATH + "/" + key;
    }

    /**
     * Returns the path that lists the keys with a prefix.
     *
     * @param after the key after which the page begins; empty: the page begins with the first key
     * @param limit the maximum number of rows
     */
    public static String scanPath(String prefix, String after, int limit) {
        return KEYS_PATH + "?" + PREFIX + "=" + prefix + (after.isEmpty() ? "" : "&" + AFTER + "=" + after) + "&"
                + LIMIT + "=" + limit;
    }

    /**
     * Returns the path that waits for changes of keys with a prefix.
     *
     * @param afterRevision the store's revision after which changes are of interest
     * @param waitMs the maximum time that the store holds the request
     */
    public static String watchPath(String prefix, long afterRevision, long waitMs) {
        return WATCH_PATH + "?" + PREFIX + "=" + prefix + "&" + AFTER + "=" + afterRevision + "&" + WAIT_MS + "="
                + waitMs;
    }

    /** Returns the path of one lease, for its deletion. */
    public static String leasePath(String leaseId) {
        return LEASES_PATH + "/" + leaseId;
    }

    /** Returns the path that renews a lease. */
    public static String leaseRenewalPath(String leaseId) {
        return leasePath(leaseId) + "/touch";
    }

    // ---- reads

    /**
     * The result of reading one key.
     *
     * @param row the key with its value; null unless the key was found
     */
    public record ReadResult(Outcome outcome, KeyValue row) {
        /** The outcome of the read. */
        public enum Outcome {
            FOUND,
            ABSENT,
            /** The store could not be reached or sent no usable response. */
            UNKNOWN
        }

        /** Returns whether the key exists. */
        public boolean found() {
            return outcome == Outcome.FOUND;
        }

        /** Returns whether the store could not be reached or sent no usable response. */
        public boolean unknown() {
            return outcome == Outcome.UNKNOWN;
        }
    }

    /** Reads the response to a read of one key. */
    public static ReadResult readResult(int status, JsonNode body) {
        return switch (status) {
            case OK -> new ReadResult(ReadResult.Outcome.FOUND, body == null ? null : readRow(body));
            case NOT_FOUND -> new ReadResult(ReadResult.Outcome.ABSENT, null);
            default -> new ReadResult(ReadResult.Outcome.UNKNOWN, null);
        };
    }

    /**
     * One page of a scan.
     *
     * @param revision the store's revision at the time of the read
     * @param hasMore whether more keys follow after the last row
     */
    public record ScanPage(List<KeyValue> rows, long revision, boolean hasMore) {}

    /** Reads one page of a scan; returns null if the read failed. */
    public static ScanPage scanPage(int status, JsonNode body) {
        if (status != OK || body == null) {
            return null;
        }
        List<KeyValue> rows = new ArrayList<>();
        body.path(ROWS).forEach(row -> rows.add(readRow(row)));
        return new ScanPage(
                rows, body.path(STORE_REVISION).asLong(), body.path(MORE).asBoolean());
    }

    private static KeyValue readRow(JsonNode row) {
        return new KeyValue(
                row.path(KEY).asText(), row.path(VALUE), row.path(KEY_REVISION).asLong());
    }

    /**
     * The result of a watch.
     *
     * @param changed whether any key with the prefix has changed
     * @param revision the store's revision up to which this result is complete
     */
    public record WatchResult(boolean changed, long revision) {}

    /** Reads the response to a watch; returns null if the watch failed. */
    public static WatchResult watchResult(int status, JsonNode body) {
        if (status != OK || body == null) {
            return null;
        }
        return new WatchResult(
                !body.path(EVENTS).isEmpty(), body.path(STORE_REVISION).asLong());
    }

    // ---- leases

    /** A granted lease. Its id is sent back to the store in the same form in which it was received. */
    public record LeaseGrant(JsonNode wireId) {
        /** Returns the id as text, for paths and stored records. */
        public String id() {
            return wireId.asText();
        }
    }

    /** Returns the body of a request for a lease. */
    public static ObjectNode leaseRequest(long durationMs) {
        return MessageCodec.map().put(LEASE_DURATION_MS, durationMs);
    }

    /** Reads the response to a lease request; returns null if none was granted or the outcome is unknown. */
    public static LeaseGrant leaseGrant(int status, JsonNode body) {
        return status == OK && body != null ? new LeaseGrant(body.path(LEASE)) : null;
    }

    /**
     * The result of renewing a lease.
     *
     * @param status the status of the response, for log lines
     */
    public record LeaseRenewal(Outcome outcome, int status) {
        /** The outcome of the renewal. */
        public enum Outcome {
            RENEWED,
            /** The lease has expired, and the keys attached to it have been deleted. */
            EXPIRED,
            UNKNOWN
        }
    }

    /** Reads the response to the renewal of a lease. */
    public static LeaseRenewal leaseRenewal(int status) {
        return new LeaseRenewal(
                switch (status) {
                    case OK -> LeaseRenewal.Outcome.RENEWED;
                    case NOT_FOUND -> LeaseRenewal.Outcome.EXPIRED;
                    default -> LeaseRenewal.Outcome.UNKNOWN;
                },
                status);
    }

    // ---- transactions

    /** Builds a transaction: conditions on the revisions of keys, and changes that are applied if all of these hold. */
    public static final class CommitRequest {
        private final ObjectNode body = MessageCodec.map();
        private final ArrayNode conditions = body.putArray(CONDITIONS);
        private final ArrayNode changes = body.putArray(CHANGES);

        /** Adds the condition that a key is at this revision; 0: that the key does not exist. */
        public CommitRequest compare(String key, long revision) {
            conditions.addObject().put(KEY, key).put(KEY_REVISION, revision);
            return this;
        }

        /** Adds a write of a key without a lease. */
        public CommitRequest put(String key, ObjectNode value) {
            changes.addObject().put(PUT, key).set(VALUE, value);
            return this;
        }

        /** Adds a write of a key that the store deletes when the lease ends. */
        public CommitRequest put(String key, ObjectNode value, LeaseGrant lease) {
            ObjectNode change = changes.addObject().put(PUT, key);
            change.set(VALUE, value);
            change.set(LEASE, lease.wireId());
            return this;
        }

        /** Adds the deletion of a key. */
        public CommitRequest delete(String key) {
            changes.addObject().put(DELETE, key);
            return this;
        }

        /** Returns the number of writes and deletions, which count against the store's limit on writes per second. */
        public int changes() {
            return changes.size();
        }

        /** Returns the body of the request; changes added later appear in it, too. */
        public ObjectNode body() {
            return body;
        }
    }

    /**
     * The result of a transaction.
     *
     * @param revision the new revision of all keys that the transaction wrote; 0 unless it was applied
     * @param detail the response of an invalid transaction as text, for log lines; otherwise empty
     */
    public record CommitResult(Outcome outcome, long revision, String detail) {
        /** The outcome of the transaction. */
        public enum Outcome {
            APPLIED,
            /** A condition did not hold. */
            CONFLICT,
            /** The store rejected the request as invalid, whatever the revisions of the keys are. */
            INVALID,
            /** The transaction was certainly not applied; it may be sent again. */
            NOT_APPLIED,
            /** The transaction may have been applied, or may be applied later. */
            AMBIGUOUS
        }
    }

    /** Reads the response to a transaction. */
    public static CommitResult commitResult(int status, JsonNode body) {
        return switch (status) {
            case OK ->
                new CommitResult(
                        CommitResult.Outcome.APPLIED, body.path(STORE_REVISION).asLong(), "");
            case CONFLICT -> new CommitResult(CommitResult.Outcome.CONFLICT, 0, "");
            case BAD_REQUEST -> new CommitResult(CommitResult.Outcome.INVALID, 0, String.valueOf(body));
            case TOO_MANY_REQUESTS, UNAVAILABLE, Environment.NOT_SENT ->
                new CommitResult(CommitResult.Outcome.NOT_APPLIED, 0, "");
            default -> new CommitResult(CommitResult.Outcome.AMBIGUOUS, 0, "");
        };
    }
}
