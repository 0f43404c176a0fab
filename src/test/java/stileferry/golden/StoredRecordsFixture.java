package stileferry.golden;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import stileferry.coordination.Coordinator;
import stileferry.protocol.Environment;
import stileferry.protocol.Features;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.PeerMessageCodec;
import stileferry.protocol.Settings;
import stileferry.protocol.SettingsReader;

/**
 * One real controller, n0, with a scripted world around it: a clock that only the test moves, chance that is always
 * the same, and a key-value store that notes what is written.
 */
final class StoredRecordsFixture implements Environment {
    static final long TIME_OF_DAY = 1_700_000_000_000L;

    private static final String STORE = "10.9.0.1:1";
    private static final String CLOUD = "10.9.0.2:1";
    private static final long START = 1_000_000;

    final StoredKeyValues store;

    /** What was sent to other controllers, as the name of the receiver and the bytes in hex. */
    final List<String> peerBytes = new ArrayList<>();

    /** What other controllers answer; null: nothing. */
    Function<PeerMessage, PeerMessage> peers = StoredRecordsFixture::acknowledge;

    final Coordinator coordinator;
    private final Map<String, StoredWorker> workers = new HashMap<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private long now = START;
    private long timersMade;

    private record Timer(long at, long number, Runnable task) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    /** A user's answer. */
    record Told(int status, JsonNode body) {}

    /** A controller that has not started yet, with this store. */
    StoredRecordsFixture(StoredKeyValues store, Features features, double valueKb) {
        this.store = store;
        this.coordinator = new Coordinator(settings(valueKb), features, this);
    }

    /** A controller that has come to lead, with all optional parts off. */
    static StoredRecordsFixture leading(StoredKeyValues store) {
        return leading(store, Features.NONE);
    }

    /** A controller that has come to lead. */
    static StoredRecordsFixture leading(StoredKeyValues store, Features features) {
        StoredRecordsFixture fixture = new StoredRecordsFixture(store, features, 8);
        fixture.start();
        return fixture;
    }

    /** Starts the controller, and waits until it leads or follows. */
    StoredRecordsFixture start() {
        turn(coordinator::start);
        advance(1000);
        return this;
    }

    /** A leader in its term acknowledges nothing itself; everybody else acknowledges the term that it hears. */
    private static PeerMessage acknowledge(PeerMessage record) {
        return record instanceof PeerMessage.TermAnnouncement term
                ? new PeerMessage.TermAnnouncement(term.term(), "", false)
                : null;
    }

    private static Settings settings(double valueKb) {
        return SettingsReader.read(
                        """
                        {"host_name":"n0","zone":"za","client_listen":"10.0.0.9:1","peer_bind":"10.0.0.9:2",
                        "seeds":[{"host_name":"n1","zone":"za","peer_addr":"10.0.0.1:1"},
                        {"host_name":"n2","zone":"zb","peer_addr":"10.0.0.2:1"}],
                        "outside":{"cloud":"10.9.0.2:1","state":"10.9.0.1:1"},
                        "cluster":{"zones":["za","zb"],"teams":[{"name":"red","cpus":24,"cpus_max":400},
                        {"name":"blue","cpus":16}],"objectives":[{"kind":"start","class":"train","within_s":60}],
                        "workers":{"report_s":2,"lease_s":10,"cancel_s":20,"gang_wait_s":8,"gang_peer_s":3},
                        "state":{"rps":150,"write_rps":50,"value_kb":%s,"txn_ops":12},
                        "cloud":{"rps":5,"list_lag_s":3},"machine_limits":{"max_sockets":1000},"clock_off_ms":20}}
                        """
                                .formatted(valueKb))
                .settings();
    }

    // ---- time

    /** Lets so many milliseconds pass. */
    void advance(long ms) {
        long end = now + ms;
        while (!timers.isEmpty() && timers.peek().at <= end) {
            Timer next = timers.poll();
            now = next.at;
            turn(next.task);
        }
        now = end;
    }

    /** Carries something out on the owner's turn. */
    void turn(Runnable task) {
        task.run();
        coordinator.endOfBatch();
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public long timeOfDay() {
        return TIME_OF_DAY + now - START;
    }

    @Override
    public RandomGenerator random() {
        return () -> 0L;
    }

    @Override
    public void setLogLevel(String level) {}

    @Override
    public void schedule(long delayMs, Runnable task) {
        timers.add(new Timer(now + Math.max(0, delayMs), timersMade++, task));
    }

    // ---- what the controller sends

    @Override
    public void request(String addr, String method, String path, JsonNode body, long timeoutMs, ResponseHandler reply) {
        JsonNode sent = body == null ? null : MessageCodec.decode(MessageCodec.encode(body));
        if (addr.equals(STORE)) {
            StoredKeyValues.Answer answer = store.request(method, path, sent);
            if (answer != null) {
                schedule(1, () -> reply.onResponse(answer.status(), answer.body()));
            }
        } else if (addr.equals(CLOUD)) {
            cloud(path, reply);
        } else if (workers.containsKey(addr)) {
            workers.get(addr).obey(sent);
            schedule(1, () -> reply.onResponse(200, workers.get(addr).report()));
        } else {
            schedule(1, () -> reply.onResponse(NOT_SENT, null));
        }
    }

    private void cloud(String path, ResponseHandler reply) {
        if (path.equals("/machine_types")) {
            schedule(
                    1,
                    () -> reply.onResponse(
                            200,
                            StoredKeyValues.json(
                                    """
                    {"hulls":[{"sku":"box","cores":8,"gpus":0,"ram_gb":32,"local_gb":100,"fetch_gb_per_s":1.0,
                    "rate":12.0,"spot_price":4.5,"startup_s":45,"harbors":["za","zb"]}]}""")));
        } else if (path.startsWith("/hosts?")) {
            schedule(1, () -> reply.onResponse(200, StoredKeyValues.json("{\"fleet\":[],\"more\":false}")));
        } else {
            schedule(1, () -> reply.onResponse(503, StoredKeyValues.json("{\"error\":\"no capacity\"}")));
        }
    }

    @Override
    public void sendToPeer(Settings.Peer peer, PeerMessage record, long timeoutMs, Consumer<PeerMessage> reply) {
        byte[] bytes = PeerMessageCodec.encode(record);
        peerBytes.add(peer.name() + " " + HexFormat.of().formatHex(bytes));
        PeerMessage answer = peers.apply(PeerMessageCodec.decode(bytes));
        schedule(1, () -> reply.accept(answer));
    }

    // ---- who asks the controller

    /** Has a worker report; it does what the answer says, and the status is returned. */
    int report(StoredWorker worker) {
        workers.put(worker.addr, worker);
        int[] told = new int[1];
        turn(() -> coordinator.handleHeartbeat(MessageCodec.encode(worker.report()), (status, body) -> {
            told[0] = status;
            if (status == 200) {
                worker.obey(MessageCodec.decode(body));
            }
        }));
        advance(100);
        return told[0];
    }

    /** Asks as a user, and waits for the answer. */
    Told user(PeerMessage.RequestKind ask, String id, String body) {
        Told[] told = new Told[1];
        byte[] bytes = body.isEmpty() ? new byte[0] : MessageCodec.encode(StoredKeyValues.json(body));
        turn(() -> coordinator.handleUserRequest(
                ask, id, bytes, answer -> told[0] = new Told(answer.status(), MessageCodec.decode(answer.body()))));
        advance(100);
        return told[0];
    }

    /** Asks as an operator, and waits for the answer. */
    Told operator(String method, String path, String body) {
        Told[] told = new Told[1];
        byte[] bytes = body.isEmpty() ? new byte[0] : MessageCodec.encode(StoredKeyValues.json(body));
        turn(() -> coordinator.handleAdministrationRequest(
                method,
                path,
                bytes,
                answer -> told[0] = new Told(answer.status(), MessageCodec.decode(answer.body()))));
        advance(100);
        return told[0];
    }
}
