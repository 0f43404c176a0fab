package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import stileferry.admission.AdmissionTotals;
import stileferry.admission.LoadShedder;
import stileferry.cluster.Job;
import stileferry.leadership.LeaderElection;
import stileferry.overload.AdmissionCountShards;
import stileferry.overload.AdmissionSettings;
import stileferry.protocol.Environment;
import stileferry.protocol.KeyValue;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.Settings;
import stileferry.protocol.SettingsReader;
import stileferry.standin.KeyValueStore;

/**
 * One run of the admission model: a key-value store, a leader, and the requests in flight between them. Leaders may
 * crash at any time. A transaction is executed and its response arrives, executed while its response is lost,
 * executed late, or never executed.
 */
final class AdmissionModel {
    private static final int MAX_JOBS = 3;

    /** The possible next events. */
    enum Event {
        ACCEPT_JOB,
        SERVE_REQUEST,
        LOSE_RESPONSE,
        LOSE_REQUEST,
        EXECUTE_LATE,
        CHANGE_LEADER
    }

    /**
     * Whether the count is written in the transaction that stores the job, or, as a deliberate bug, in a separate one
     * after the response to the first.
     */
    enum CountMode {
        SAME_TRANSACTION,
        SEPARATE_TRANSACTION
    }

    /** A request in flight to the key-value store. */
    record Request(String method, String path, JsonNode body, Environment.ResponseHandler reply) {}

    final KeyValueStore store = new KeyValueStore(12, 8);
    final ArrayDeque<Request> requests = new ArrayDeque<>();
    final List<Request> unanswered = new ArrayList<>();
    final TreeMap<Long, List<Runnable>> timers = new TreeMap<>();
    final LoadShedder loadShedder = new LoadShedder(AdmissionSettings.config(settings()), 10);
    final CountMode countMode;
    long now = 1;
    long term;
    int jobCount;
    AdmissionModelLeader leader;

    AdmissionModel(CountMode countMode) {
        this.countMode = countMode;
        changeLeader();
    }

    void after(long ms, Runnable task) {
        timers.computeIfAbsent(now + Math.max(1, ms), t -> new ArrayList<>()).add(task);
    }

    /** Runs the timers that are due within two seconds, at most 100 batches of them. */
    void runDueTimers() {
        for (int i = 0; i < 100 && !timers.isEmpty() && timers.firstKey() <= now + 2000; i++) {
            var dueTimers = timers.pollFirstEntry();
            now = Math.max(now, dueTimers.getKey());
            dueTimers.getValue().forEach(Runnable::run);
        }
    }

    void changeLeader() {
        if (leader != null) {
            leader.commits.close();
        }
        term++;
        putDirectly(LeaderElection.LEADER_KEY, MessageCodec.map().put("term", term));
        leader = new AdmissionModelLeader(this);
        loadShedder.observeTerm(term);
    }

    /** Applies an event; returns false if it is not possible in this state. */
    boolean apply(Event event) {
        switch (event) {
            case ACCEPT_JOB -> {
                if (jobCount == MAX_JOBS) {
                    return false;
                }
                leader.acceptJob("job-" + jobCount++);
            }
            case SERVE_REQUEST, LOSE_RESPONSE, LOSE_REQUEST -> {
                if (requests.isEmpty()) {
                    return false;
                }
                serve(requests.poll(), event);
            }
            case EXECUTE_LATE -> {
                if (unanswered.isEmpty()) {
                    return false;
                }
                Request late = unanswered.remove(0);
                store.handleRequest(late.method, late.path, late.body, (s, b) -> {});
            }
            case CHANGE_LEADER -> changeLeader();
        }
        runDueTimers();
        return true;
    }

    private void serve(Request request, Event event) {
        if (event == Event.SERVE_REQUEST) {
            store.handleRequest(request.method, request.path, request.body, request.reply);
        } else {
            if (event == Event.LOSE_RESPONSE) {
                store.handleRequest(request.method, request.path, request.body, (s, b) -> {});
            } else if (request.path.equals("/commit")) {
                unanswered.add(request);
            }
            request.reply.onResponse(Environment.NO_RESPONSE, null);
        }
    }

    List<KeyValue> readRows(String prefix) {
        List<KeyValue> rows = new ArrayList<>();
        store.handleRequest("GET", "/kv?starts=" + prefix + "&most=1000", null, (s, body) -> body.path("rows")
                .forEach(row -> rows.add(new KeyValue(
                        row.path("path").asText(),
                        row.path("v"),
                        row.path("entry_rev").asLong()))));
        return rows;
    }

    long countedAdmissions() {
        return AdmissionTotals.of(AdmissionCountShards.read(readRows(AdmissionCountShards.KEY_PREFIX)), 1, 0)
                .counts()
                .total();
    }

    /** Returns a string that identifies this state, apart from times and revisions. */
    String signature() {
        StringBuilder text = new StringBuilder().append(jobCount).append('|').append(countedAdmissions());
        readRows(Job.KEY_PREFIX).forEach(row -> text.append(row.key()));
        text.append('|').append(leader.commits.inFlight()).append(leader.commits.backlog());
        requests.forEach(request -> text.append(request.method.charAt(0)).append(keys(request)));
        unanswered.forEach(request -> text.append('L').append(keys(request)));
        return text.append(leader.lostLeadership).toString();
    }

    private static String keys(Request request) {
        StringBuilder keys = new StringBuilder();
        if (request.body != null) {
            request.body.path("apply").forEach(change -> keys.append(change.path("put")));
            request.body.path("if").forEach(condition -> keys.append(condition.path("entry_rev")));
        }
        return keys.toString();
    }

    /** Writes a key directly, not in a transaction of a leader. */
    private void putDirectly(String key, JsonNode value) {
        var transaction = MessageCodec.map();
        transaction.putArray("if");
        transaction.putArray("apply").addObject().put("put", key).set("v", value);
        store.handleRequest("POST", "/commit", transaction, (status, body) -> assertEquals(200, status));
    }

    static Settings settings() {
        return SettingsReader.read(
                        """
                {"host_name":"n0","zone":"za","client_listen":"10.0.0.9:1","peer_bind":"10.0.0.9:2","seeds":[],
                "outside":{"cloud":"10.9.0.2:1","state":"10.9.0.1:1"},
                "cluster":{"zones":["za"],"teams":[{"name":"red"}],"objectives":[],
                "workers":{"report_s":2,"lease_s":10,"cancel_s":20},
                "state":{"rps":1000,"write_rps":1000,"value_kb":8,"txn_ops":12},
                "cloud":{"rps":5,"list_lag_s":3},"machine_limits":{"max_sockets":1000},"clock_off_ms":20}}
                """)
                .settings();
    }
}
