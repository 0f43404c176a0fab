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

/** A key-value store after the published protocol, in the protocol's own words, which notes every transaction. */
final class FakeKeyValueStore {
    /** The leases are given out from this number on. */
    private static final long FIRST_LEASE_ID = 7;

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Every body that was sent to {@code /commit}, whatever became of it. */
    final List<JsonNode> commits = new ArrayList<>();

    /** Every request but those to {@code /commit}, as method and path. */
    final List<String> requests = new ArrayList<>();

    /** Transactions, counted from the next one, that are carried out while their answers are lost. */
    int responsesToLose;

    /** The prefix of which reads are not answered; empty: all are. */
    String unansweredScanPrefix = "";

    private final Map<String, Row> rows = new TreeMap<>();
    private long revision;
    private long leaseCount;

    private record Row(JsonNode value, long revision) {}

    /** An answer; a status of {@link Environment#NO_ANSWER} stands for a lost one. */
    record Response(int status, JsonNode body) {}

    /** Reads JSON text. */
    static JsonNode parse(String text) {
        try {
            return JSON.readTree(text);
        } catch (java.io.IOException e) {
            throw new IllegalArgumentException(text, e);
        }
    }

    /** Stores a value as if it had been written before; each gets a revision of its own. */
    FakeKeyValueStore withValue(String key, String value) {
        rows.put(key, new Row(parse(value), ++revision));
        return this;
    }

    /** Has the first so many transactions of another leader applied, whose lease has ended since. */
    FakeKeyValueStore afterTransactions(List<String> transactions, int count) {
        transactions.subList(0, count).forEach(text -> commit(parse(text)));
        rows.remove("a/lead");
        return this;
    }

    /** The value of a key as JSON text; null: it does not exist. */
    String value(String key) {
        Row row = rows.get(key);
        return row == null ? null : row.value.toString();
    }

    /** The keys that exist. */
    List<String> keys() {
        return List.copyOf(rows.keySet());
    }

    /** Answers a request; null: it waits. */
    Response request(String method, String path, JsonNode body) {
        if (path.equals("/commit")) {
            commits.add(body.deepCopy());
            return commit(body);
        }
        requests.add(method + " " + path);
        boolean held = !unansweredScanPrefix.isEmpty() && path.startsWith("/kv?starts=" + unansweredScanPrefix);
        if (path.startsWith("/watch") || held) {
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
        ObjectNode found = newObject().put("path", key);
        found.set("v", row.value);
        return new Response(200, found.put("entry_rev", row.revision));
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
            ObjectNode refusal = newObject().put("ledger_rev", revision);
            refusal.set("failed", failed);
            return new Response(409, refusal);
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
            return new Response(Environment.NO_ANSWER, null);
        }
        return new Response(200, newObject().put("ledger_rev", revision));
    }

    private static ObjectNode newObject() {
        return JsonNodeFactory.instance.objectNode();
    }
}
