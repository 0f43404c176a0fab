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
final class StoredKeyValues {
    /** The leases are given out from this number on. */
    private static final long FIRST_LEASE = 7;

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Every body that was sent to {@code /commit}, whatever became of it. */
    final List<JsonNode> commits = new ArrayList<>();

    /** Every request but those to {@code /commit}, as method and path. */
    final List<String> requests = new ArrayList<>();

    /** Transactions, counted from the next one, that are carried out while their answers are lost. */
    int answersToLose;

    /** The prefix of which reads are not answered; empty: all are. */
    String unanswered = "";

    private final Map<String, Row> rows = new TreeMap<>();
    private long revision;
    private long leases;

    private record Row(JsonNode value, long revision) {}

    /** An answer; a status of {@link Environment#NO_RESPONSE} stands for a lost one. */
    record Answer(int status, JsonNode body) {}

    /** Reads JSON text. */
    static JsonNode json(String text) {
        try {
            return JSON.readTree(text);
        } catch (java.io.IOException e) {
            throw new IllegalArgumentException(text, e);
        }
    }

    /** Stores a value as if it had been written before; each gets a revision of its own. */
    StoredKeyValues with(String key, String value) {
        rows.put(key, new Row(json(value), ++revision));
        return this;
    }

    /** Has the first so many transactions of another leader applied, whose lease has ended since. */
    StoredKeyValues after(List<String> transactions, int count) {
        transactions.subList(0, count).forEach(text -> commit(json(text)));
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
    Answer request(String method, String path, JsonNode body) {
        if (path.equals("/commit")) {
            commits.add(body.deepCopy());
            return commit(body);
        }
        requests.add(method + " " + path);
        boolean held = !unanswered.isEmpty() && path.startsWith("/kv?starts=" + unanswered);
        if (path.startsWith("/watch") || held) {
            return null;
        }
        if (path.startsWith("/leases")) {
            ObjectNode lease = object();
            return new Answer(200, path.equals("/leases") ? lease.put("mooring", FIRST_LEASE + leases++) : lease);
        }
        if (path.startsWith("/kv/")) {
            return get(path.substring("/kv/".length()));
        }
        return scan(path.substring("/kv?starts=".length(), path.indexOf('&')));
    }

    private Answer get(String key) {
        Row row = rows.get(key);
        if (row == null) {
            return new Answer(404, object().put("ledger_rev", revision));
        }
        ObjectNode found = object().put("path", key);
        found.set("v", row.value);
        return new Answer(200, found.put("entry_rev", row.revision));
    }

    private Answer scan(String prefix) {
        ObjectNode page = object();
        ArrayNode list = page.putArray("rows");
        rows.forEach((key, row) -> {
            if (key.startsWith(prefix)) {
                list.addObject().put("path", key).put("entry_rev", row.revision).set("v", row.value.deepCopy());
            }
        });
        return new Answer(200, page.put("more", false).put("ledger_rev", revision));
    }

    private Answer commit(JsonNode body) {
        ArrayNode failed = JsonNodeFactory.instance.arrayNode();
        for (JsonNode condition : body.path("if")) {
            Row row = rows.get(condition.path("path").asText());
            if ((row == null ? 0 : row.revision) != condition.path("entry_rev").asLong()) {
                failed.add(condition.path("path"));
            }
        }
        if (!failed.isEmpty()) {
            ObjectNode refusal = object().put("ledger_rev", revision);
            refusal.set("failed", failed);
            return new Answer(409, refusal);
        }
        revision++;
        for (JsonNode change : body.path("apply")) {
            if (change.has("put")) {
                rows.put(change.path("put").asText(), new Row(change.path("v").deepCopy(), revision));
            } else {
                rows.remove(change.path("delete").asText());
            }
        }
        if (answersToLose > 0) {
            answersToLose--;
            return new Answer(Environment.NO_RESPONSE, null);
        }
        return new Answer(200, object().put("ledger_rev", revision));
    }

    private static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }
}
