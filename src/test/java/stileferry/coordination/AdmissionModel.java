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
 * One run of the model of admission: a key-value store, the leader, and the requests on their way between them. Leaders
 * crash at any moment; a transaction is answered, carried out while its answer is lost, carried out late, or never.
 */
final class AdmissionModel {
    private static final int MOST_JOBS = 3;

    /** What may happen next. */
    enum Event {
        ACCEPT_A_JOB,
        ANSWER_A_REQUEST,
        CARRY_OUT_BUT_LOSE_THE_ANSWER,
        LOSE_A_REQUEST,
        CARRY_OUT_LATE,
        CHANGE_THE_LEADER
    }

    /**
     * Whether the count is written in the transaction that stores the job, or, as a planted fault, in another one after
     * that was answered.
     */
    enum Count {
        WITH_THE_JOB,
        AFTER_THE_ANSWER
    }

    /** A request on its way to the key-value store. */
    record Request(String method, String path, JsonNode body, Environment.ResponseHandler reply) {}

    final KeyValueStore store = new KeyValueStore(12, 8);
    final ArrayDeque<Request> requests = new ArrayDeque<>();
    final List<Request> unanswered = new ArrayList<>();
    final TreeMap<Long, List<Runnable>> timers = new TreeMap<>();
    final LoadShedder door = new LoadShedder(AdmissionSettings.config(settings()), 10);
    final Count count;
    long now = 1;
    long term;
    int jobs;
    AdmissionModelLeader leader;

    AdmissionModel(Count count) {
        this.count = count;
        changeLeader();
    }

    void after(long ms, Runnable task) {
        timers.computeIfAbsent(now + Math.max(1, ms), t -> new ArrayList<>()).add(task);
    }

    /** Runs all timers that are due within two seconds. */
    void settle() {
        for (int i = 0; i < 100 && !timers.isEmpty() && timers.firstKey() <= now + 2000; i++) {
            var due = timers.pollFirstEntry();
            now = Math.max(now, due.getKey());
            due.getValue().forEach(Runnable::run);
        }
    }

    void changeLeader() {
        if (leader != null) {
            leader.commits.close();
        }
        term++;
        putOutsideOfCommits(LeaderElection.LEADER_KEY, MessageCodec.map().put("term", term));
        leader = new AdmissionModelLeader(this);
        door.observeTerm(term);
    }

    boolean play(Event event) {
        switch (event) {
            case ACCEPT_A_JOB -> {
                if (jobs == MOST_JOBS) {
                    return false;
                }
                leader.accept("job-" + jobs++);
            }
            case ANSWER_A_REQUEST, CARRY_OUT_BUT_LOSE_THE_ANSWER, LOSE_A_REQUEST -> {
                if (requests.isEmpty()) {
                    return false;
                }
                answer(requests.poll(), event);
            }
            case CARRY_OUT_LATE -> {
                if (unanswered.isEmpty()) {
                    return false;
                }
                Request late = unanswered.remove(0);
                store.request(late.method, late.path, late.body, (s, b) -> {});
            }
            case CHANGE_THE_LEADER -> changeLeader();
        }
        settle();
        return true;
    }

    private void answer(Request request, Event event) {
        if (event == Event.ANSWER_A_REQUEST) {
            store.request(request.method, request.path, request.body, request.reply);
        } else {
            if (event == Event.CARRY_OUT_BUT_LOSE_THE_ANSWER) {
                store.request(request.method, request.path, request.body, (s, b) -> {});
            } else if (request.path.equals("/commit")) {
                unanswered.add(request);
            }
            request.reply.onResponse(Environment.NO_RESPONSE, null);
        }
    }

    List<KeyValue> rows(String prefix) {
        List<KeyValue> rows = new ArrayList<>();
        store.request("GET", "/kv?starts=" + prefix + "&most=1000", null, (s, body) -> body.path("rows")
                .forEach(row -> rows.add(new KeyValue(
                        row.path("path").asText(),
                        row.path("v"),
                        row.path("entry_rev").asLong()))));
        return rows;
    }

    long counted() {
        return AdmissionTotals.of(AdmissionCountShards.read(rows(AdmissionCountShards.PREFIX)), 1, 0)
                .counts()
                .total();
    }

    /** Identifies this state, apart from times and revisions. */
    String signature() {
        StringBuilder text = new StringBuilder().append(jobs).append('|').append(counted());
        rows(Job.PREFIX).forEach(row -> text.append(row.key()));
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

    /** Writes a key outside of the controllers' transactions. */
    private void putOutsideOfCommits(String key, JsonNode value) {
        var transaction = MessageCodec.map();
        transaction.putArray("if");
        transaction.putArray("apply").addObject().put("put", key).set("v", value);
        store.request("POST", "/commit", transaction, (status, body) -> assertEquals(200, status));
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
