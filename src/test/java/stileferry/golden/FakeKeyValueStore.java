package stileferry.golden;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import stileferry.protocol.Environment;

/**
 * An in-memory key-value store that implements the published protocol and records every request. It uses the protocol's
 * field names literally instead of the constants of the code under test.
 */
final class FakeKeyValueStore {
    /** The id of the first lease; later ones are numbered consecutively. */
    private static final long FIRST_LEASE_ID = 7;

    private static final ObjectMapper JSON = new ObjectMapper();

    /** The bodies of all requests to {@code /commit}, whether the transaction was applied or not. */
    final List<JsonNode> commits = new ArrayList<>();

    /** All other requests, as method and path. */
    final List<String> requests = new ArrayList<>();

    /** How many of the next transactions are applied although their responses are lost. */
    int responsesToLose;

    /** The key prefix whose scans get no response; if empty, all scans get one. */
    String unansweredScanPrefix = "";

    private final Map<String, Row> rows = new TreeMap<>();
    private long revision;
    private long leaseCount;

    private record Row(JsonNode value, long revision) {}

    /** A response; the status {@link Environment#NO_RESPONSE} means that the response was lost. */
    record Response(int status, JsonNode body) {}

    /** Parses JSON text; throws {@link IllegalArgumentException} if it is malformed. */
    static JsonNode parse(String json) {
        try {
            return JSON.readTree(json);
        } catch (java.io.IOException e) {
            throw new IllegalArgumentException(json, e);
        }
    }

    /** Stores a value in a transaction of its own, which is not recorded in {@link #commits}. */
    FakeKeyValueStore withValue(String key, String value) {
        rows.put(key, new Row(parse(value), ++revision));
        return this;
    }

    /**
     * Applies the first transactions of a previous leader and removes its leader key, as happens when its lease ends.
     * They are not recorded in {@link #commits}.
     */
    FakeKeyValueStore afterTransactions(List<String> transactions, int count) {
        transactions.subList(0, count).forEach(transaction -> commit(parse(transaction)));
        rows.remove("a/lead");
        return this;
    }

    /** Returns the value of a key as JSON text, or null if the key does not exist. */
    String value(String key) {
        Row row = rows.get(key);
        return row == null ? null : row.value.toString();
    }

    /** Returns all existing keys. */
    List<String> keys() {
        return List.copyOf(rows.keySet());
    }

    /** Handles a request; returns null if it gets no response: watches, and scans of {@link #unansweredScanPrefix}. */
    Response request(String method, String path, JsonNode body) {
        if (path.equals("/commit")) {
            commits.add(body.deepCopy());
            return commit(body);
        }
        requests.add(method + " " + path);
        boolean unanswered = !unansweredScanPrefix.isEmpty() && path.startsWith("/kv?starts=" + unansweredScanPrefix);
        if (path.startsWith("/watch") || unanswered) {
            return null;
        }
        if (path.startsWith("/leases")) {
            ObjectNode lease = newObject();
            return new Response(
                    200, path.equals("/leases") ? lease.put("mooring", FIRST_LEASE_ID + leaseCount++) : lease);
        }
        if (path.startsWith("/kv/")) {
            return get(path.substring("/kv/".length()));
        }
        return scan(path.substring("/kv?starts=".length(), path.indexOf('&')));
    }

    private Response get(String key) {
        Row row = rows.get(key);
        if (row == null) {
            return new Response(404, newObject().put("ledger_rev", revision));
        }
        ObjectNode response = newObject().put("path", key);
        response.set("v", row.value);
        return new Response(200, response.put("entry_rev", row.revision));
    }

    private Response scan(String prefix) {
        ObjectNode page = newObject();
        ArrayNode list = page.putArray("rows");
        rows.forEach((key, row) -> {
            if (key.startsWith(prefix)) {
                list.addObject().put("path", key).put("entry_rev", row.revision).set("v", row.value.deepCopy());
            }
        });
        return new Response(200, page.put("more", false).put("ledger_rev", revision));
    }

    private Response commit(JsonNode body) {
        ArrayNode failed = JsonNodeFactory.instance.arrayNode();
        for (JsonNode condition : body.path("if")) {
            Row row = rows.get(condition.path("path").asText());
            if ((row == null ? 0 : row.revision) != condition.path("entry_rev").asLong()) {
                failed.add(condition.path("path"));
            }
        }
        if (!failed.isEmpty()) {
            ObjectNode conflict = newObject().put("ledger_rev", revision);
            conflict.set("failed", failed);
            return new Response(409, conflict);
        }
        revision++;
        for (JsonNode change : body.path("apply")) {
            if (change.has("put")) {
                rows.put(change.path("put").asText(), new Row(change.path("v").deepCopy(), revision));
            } else {
                rows.remove(change.path("delete").asText());
            }
        }
        if (responsesToLose > 0) {
            responsesToLose--;
            return new Response(Environment.NO_RESPONSE, null);
        }
        return new Response(200, newObject().put("ledger_rev", revision));
    }

    private static ObjectNode newObject() {
        return JsonNodeFactory.instance.objectNode();
    }
}
