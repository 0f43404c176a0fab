package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The paths and field names of the key-value store's HTTP interface, its requests and its typed responses. No other
 * class of a controller spells them, and the stand-in takes them from here.
 */
public final class KeyValueStoreProtocol {
    /** Takes a {@link CommitRequest}. */
    public static final String COMMIT_PATH = "/commit";

    /** Grants leases. */
    public static final String LEASES_PATH = "/leases";

    /** Reads one key, below it, or lists keys. */
    public static final String KEYS_PATH = "/kv";

    /** Waits for changes. */
    public static final String WATCH_PATH = "/watch";

    /** A key in a condition, a row or an answer. */
    public static final String KEY = "path";

    /** The value of a key. */
    public static final String VALUE = "v";

    /** The revision of a key. */
    public static final String KEY_REVISION = "entry_rev";

    /** The store's revision. */
    public static final String STORE_REVISION = "ledger_rev";

    /** The id of a lease. */
    public static final String LEASE = "mooring";

    /** The duration of a lease. */
    public static final String LEASE_DURATION_MS = "life_ms";

    /** The conditions of a transaction. */
    public static final String CONDITIONS = "if";

    /** The changes of a transaction. */
    public static final String CHANGES = "apply";

    /** The key that a change writes. */
    public static final String PUT = "put";

    /** The key that a change deletes. */
    public static final String DELETE = "delete";

    /** The rows of a page. */
    public static final String ROWS = "rows";

    /** Whether rows follow after a page. */
    public static final String MORE = "more";

    /** What a watch has seen. */
    public static final String EVENTS = "events";

    /** The parameter of the prefix of keys to list or to watch. */
    public static final String PREFIX = "starts";

    /** The parameter of the key or the revision after which a list or a watch begins. */
    public static final String AFTER = "from";

    /** The parameter of the most rows of a page. */
    public static final String LIMIT = "most";

    /** The parameter of how long a watch waits. */
    public static final String WAIT_MS = "block_ms";

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private KeyValueStoreProtocol() {}

    // ---- paths

    /** The path of one key; its slashes are not escaped. */
    public static String keyPath(String key) {
        return KEYS_PATH + "/" + key;
    }

    /** The path that lists keys with a prefix, after a key (empty: from the first). */
    public static String scanPath(String prefix, String after, int limit) {
        return KEYS_PATH + "?" + PREFIX + "=" + prefix + (after.isEmpty() ? "" : "&" + AFTER + "=" + after) + "&"
                + LIMIT + "=" + limit;
    }

    /** The path that waits for changes below a prefix after a revision. */
    public static String watchPath(String prefix, long afterRevision, long blockMs) {
        return WATCH_PATH + "?" + PREFIX + "=" + prefix + "&" + AFTER + "=" + afterRevision + "&" + WAIT_MS + "="
                + blockMs;
    }

    /** The path of one lease, which deletes it. */
    public static String leasePath(String leaseId) {
        return LEASES_PATH + "/" + leaseId;
    }

    /** The path that renews a lease. */
    public static String leaseRenewalPath(String leaseId) {
        return leasePath(leaseId) + "/touch";
    }

    // ---- reads

    /**
     * The answer to a read of one key.
     *
     * @param row null unless the key was found
     */
    public record ReadResult(Outcome outcome, KeyValue row) {
        /** What became of the read. */
        public enum Outcome {
            FOUND,
            ABSENT,
            /** The store could not be asked, or gave no usable answer. */
            UNKNOWN
        }

        /** Whether the key exists. */
        public boolean found() {
            return outcome == Outcome.FOUND;
        }

        /** Whether the store could not be asked, or gave no usable answer. */
        public boolean unknown() {
            return outcome == Outcome.UNKNOWN;
        }
    }

    /** Reads the answer to a read of one key. */
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
     * @param hasMore whether keys follow after the last row
     */
    public record ScanPage(List<KeyValue> rows, long revision, boolean hasMore) {}

    /** Reads one page of a scan; null when the read failed. */
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
     * The answer to a watch.
     *
     * @param revision the store's revision up to which this is known
     */
    public record WatchResult(boolean changed, long revision) {}

    /** Reads the answer to a watch; null when it failed. */
    public static WatchResult watchResult(int status, JsonNode body) {
        if (status != OK || body == null) {
            return null;
        }
        return new WatchResult(
                !body.path(EVENTS).isEmpty(), body.path(STORE_REVISION).asLong());
    }

    // ---- leases

    /** A granted lease, whose id is sent back in the form in which it came. */
    public record LeaseGrant(JsonNode wireId) {
        /** The id as text, for paths and for records. */
        public String id() {
            return wireId.asText();
        }
    }

    /** The request of a lease. */
    public static ObjectNode leaseRequest(long durationMs) {
        return MessageCodec.map().put(LEASE_DURATION_MS, durationMs);
    }

    /** Reads the answer to the request of a lease; null when none was granted, as far as is known. */
    public static LeaseGrant leaseGrant(int status, JsonNode body) {
        return status == OK && body != null ? new LeaseGrant(body.path(LEASE)) : null;
    }

    /** What became of the renewal of a lease; the status is the response's, for log lines. */
    public record LeaseRenewal(Outcome outcome, int status) {
        /** What became of the renewal. */
        public enum Outcome {
            RENEWED,
            /** The lease has ended, and the keys attached to it are deleted. */
            EXPIRED,
            UNKNOWN
        }
    }

    /** Reads the answer to the renewal of a lease. */
    public static LeaseRenewal leaseRenewal(int status) {
        return new LeaseRenewal(
                switch (status) {
                    case OK -> LeaseRenewal.Outcome.RENEWED;
                    case NOT_FOUND -> LeaseRenewal.Outcome.EXPIRED;
                    default -> LeaseRenewal.Outcome.UNKNOWN;
                },
                status);
    }

    // ---- compare-and-swap

    /** A transaction under construction: conditions on revisions, and the changes if all of them hold. */
    public static final class CommitRequest {
        private final ObjectNode body = MessageCodec.map();
        private final ArrayNode conditions = body.putArray(CONDITIONS);
        private final ArrayNode changes = body.putArray(CHANGES);

        /** Requires that a key stands at a revision; 0: that it does not exist. */
        public CommitRequest compare(String key, long revision) {
            conditions.addObject().put(KEY, key).put(KEY_REVISION, revision);
            return this;
        }

        /** Writes a key without a lease. */
        public CommitRequest put(String key, ObjectNode value) {
            changes.addObject().put(PUT, key).set(VALUE, value);
            return this;
        }

        /** Writes a key that is deleted with its lease. */
        public CommitRequest put(String key, ObjectNode value, LeaseGrant lease) {
            ObjectNode change = changes.addObject().put(PUT, key);
            change.set(VALUE, value);
            change.set(LEASE, lease.wireId());
            return this;
        }

        /** Deletes a key. */
        public CommitRequest delete(String key) {
            changes.addObject().put(DELETE, key);
            return this;
        }

        /** Puts and deletes, which count against the store's write rate. */
        public int changes() {
            return changes.size();
        }

        /** The request's body. */
        public ObjectNode body() {
            return body;
        }
    }

    /**
     * The answer to a transaction.
     *
     * @param revision of all keys that it wrote; 0 unless it was applied
     * @param detail the response as text, for log lines
     */
    public record CommitResult(Outcome outcome, long revision, String detail) {
        /** What became of the transaction. */
        public enum Outcome {
            APPLIED,
            /** A condition did not hold. */
            CONFLICT,
            /** The store can't carry it out, whatever the keys hold. */
            INVALID,
            /** Certainly not carried out; it may be sent again. */
            NOT_APPLIED,
            /** It may have been carried out, or may be later. */
            AMBIGUOUS
        }
    }

    /** Reads the answer to a transaction. */
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
