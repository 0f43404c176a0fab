package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;
import stileferry.admission.AdmissionCounts;
import stileferry.admission.AdmissionDoor;
import stileferry.admission.AdmissionTotals;
import stileferry.admission.Flow;
import stileferry.admission.Turn;
import stileferry.admission.TurnTable;
import stileferry.cluster.Job;
import stileferry.leadership.LeaderElection;
import stileferry.overload.AdmissionCountShards;
import stileferry.overload.AdmissionSettings;
import stileferry.protocol.Environment;
import stileferry.protocol.KeyValue;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;
import stileferry.protocol.SettingsReader;
import stileferry.standin.KeyValueStore;
import stileferry.storage.CommitQueue;
import stileferry.storage.KeyValueStoreClient;
import stileferry.storage.StoredEntry;

/**
 * A model check of the count of admissions, with the real queue of commits, count and door: every sequence of events up
 * to a depth is played. Two controllers lead in turns; a transaction is answered, carried out while its answer is lost,
 * carried out late, or never; leaders crash at any moment. States that were seen before are not explored again.
 */
class AdmissionModelTest {
    private static final int DEPTH = 7;
    private static final int MOST_JOBS = 3;
    private static final AdmissionCounts.Cell CELL = new AdmissionCounts.Cell("red", "*");
    private static final Flow FLOW = new Flow("red", "*", 2);

    /** What may happen next. */
    private enum Event {
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
    private enum Count {
        WITH_THE_JOB,
        AFTER_THE_ANSWER
    }

    /** A request on its way to the key-value store. */
    private record Request(String method, String path, JsonNode body, Environment.ResponseHandler reply) {}

    /** One run: a store, the leader, and the requests on their way. */
    private static final class Run {
        final KeyValueStore store = new KeyValueStore(12, 8);
        final ArrayDeque<Request> requests = new ArrayDeque<>();
        final List<Request> lost = new ArrayList<>();
        final PriorityQueue<Long> wakeAt = new PriorityQueue<>();
        final TreeMap<Long, List<Runnable>> timers = new TreeMap<>();
        final AdmissionDoor door = new AdmissionDoor(AdmissionSettings.config(settings()), 10);
        final Count count;
        long now = 1;
        long term;
        int jobs;
        Leading leader;

        Run(Count count) {
            this.count = count;
            changeLeader();
        }

        void after(long ms, Runnable task) {
            timers.computeIfAbsent(now + Math.max(1, ms), t -> new ArrayList<>())
                    .add(task);
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
            ObjectCommit.put(
                    store, LeaderElection.LEADER_KEY, MessageCodec.map().put("term", term));
            leader = new Leading(this);
            door.learn(term);
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
                    if (lost.isEmpty()) {
                        return false;
                    }
                    Request late = lost.remove(0);
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
                    lost.add(request);
                }
                request.reply.onResponse(Environment.NO_ANSWER, null);
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
            lost.forEach(request -> text.append('L').append(keys(request)));
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
    }

    /** A controller that leads, with the real queue of commits and count. */
    private static final class Leading implements Environment {
        final Run run;
        final CommitQueue commits;
        final AdmissionCountShards countShards;
        boolean lostLeadership;

        Leading(Run run) {
            this.run = run;
            long fence = run.rows(LeaderElection.LEADER_KEY).get(0).revision();
            KeyValueStoreClient state = new KeyValueStoreClient(this, settings());
            commits = new CommitQueue(
                    this, state, LeaderElection.LEADER_KEY, fence, run.term, () -> lostLeadership = true);
            countShards = new AdmissionCountShards(run.rows(AdmissionCountShards.PREFIX), 1, 8);
            if (run.count == Count.WITH_THE_JOB) {
                commits.setTransactionCounter(countShards);
            }
        }

        void accept(String id) {
            StoredEntry job = new StoredEntry(Job.key(id), 0, MessageCodec::map);
            if (run.count == Count.WITH_THE_JOB) {
                countShards.count(job, CELL);
                commits.put(job, null);
            } else {
                commits.put(job, () -> {
                    countShards.count(job, CELL);
                    commits.put(countShards.count(List.of(job)), null);
                    commits.flush();
                });
            }
            commits.flush();
        }

        @Override
        public long now() {
            return run.now;
        }

        @Override
        public long timeOfDay() {
            return run.now;
        }

        @Override
        public RandomGenerator random() {
            return new SplittableRandom(1);
        }

        @Override
        public void setLogLevel(String level) {}

        @Override
        public void schedule(long delayMs, Runnable task) {
            run.after(delayMs, task);
        }

        @Override
        public void request(
                String addr, String method, String path, JsonNode body, long timeoutMs, ResponseHandler reply) {
            run.requests.add(new Request(method, path, body == null ? null : body.deepCopy(), reply));
        }

        @Override
        public void sendToPeer(Settings.Peer peer, PeerMessage record, long timeoutMs, Consumer<PeerMessage> reply) {}
    }

    /** Writes a key outside of the controllers' transactions. */
    private static final class ObjectCommit {
        static void put(KeyValueStore store, String key, JsonNode value) {
            var transaction = MessageCodec.map();
            transaction.putArray("if");
            transaction.putArray("apply").addObject().put("put", key).set("v", value);
            store.request("POST", "/commit", transaction, (s, b) -> assertEquals(200, s));
        }
    }

    private static Settings settings() {
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

    /** What a search found: the first sequence that breaks the invariant, if any, and how many states it saw. */
    private record Found(List<Event> broken, int states) {}

    private static Run replay(Count count, List<Event> events) {
        Run run = new Run(count);
        events.forEach(run::play);
        return run;
    }

    private static Found search(Count count) {
        Set<String> seen = new HashSet<>();
        ArrayDeque<List<Event>> open = new ArrayDeque<>();
        open.add(List.of());
        while (!open.isEmpty()) {
            List<Event> events = open.poll();
            for (Event event : Event.values()) {
                Run run = replay(count, events);
                if (!run.play(event)) {
                    continue;
                }
                List<Event> longer = new ArrayList<>(events);
                longer.add(event);
                if (run.counted() != run.rows(Job.PREFIX).size()) {
                    return new Found(longer, seen.size());
                }
                if (seen.add(run.signature()) && longer.size() < DEPTH) {
                    open.add(longer);
                }
            }
        }
        return new Found(null, seen.size());
    }

    @Test
    void noSequenceOfEventsDoublesOrLosesACount() {
        Found found = search(Count.WITH_THE_JOB);
        assertEquals(null, found.broken());
        assertTrue(found.states() > 300, "states: " + found.states());
    }

    @Test
    void aCountWrittenApartFromItsJobIsDetected() {
        Found found = search(Count.AFTER_THE_ANSWER);
        assertFalse(found.broken() == null, "not found in " + found.states() + " states");
    }

    /**
     * Tables of two terms in every order, some twice, with the terms learnt in between: none of a former term holds.
     */
    @Test
    void noTurnTableOfAFormerTermHoldsInAnyOrder() {
        List<TurnTable> tables = new ArrayList<>();
        for (long[] number : new long[][] {{1, 1}, {1, 2}, {2, 1}, {2, 2}}) {
            tables.add(new TurnTable(number[0], number[1], new TreeMap<>(java.util.Map.of(FLOW, new Turn(0.5, 0.01)))));
        }
        int orders = 0;
        int events = tables.size() + 2; // a table arrives, or a term is learnt
        for (int code = 0; code < Math.pow(events, 5); code++) {
            AdmissionDoor door = new AdmissionDoor(AdmissionSettings.config(settings()), 10);
            long known = 0;
            for (int rest = code, i = 0; i < 5; i++, rest /= events) {
                int event = rest % events;
                if (event < tables.size()) {
                    known = Math.max(known, tables.get(event).term());
                    door.take(tables.get(event), 1, 1);
                } else {
                    known = Math.max(known, event - tables.size() + 1);
                    door.learn(known);
                }
                if (door.holdsTable(2)) {
                    assertEquals(known, door.lastTable().term());
                }
            }
            orders++;
        }
        assertEquals(7776, orders);
    }
}
