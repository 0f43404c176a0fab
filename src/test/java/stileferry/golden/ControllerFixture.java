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
 * A controller named n0 in a simulated environment: a clock that only the test advances, a constant random number, a
 * {@link FakeKeyValueStore}, {@link FakeWorker}s, a cloud without capacity, and scripted peers.
 */
final class ControllerFixture implements Environment {
    static final long START_TIME_OF_DAY_MS = 1_700_000_000_000L;

    private static final String STORE_ADDRESS = "10.9.0.1:1";
    private static final String CLOUD_ADDRESS = "10.9.0.2:1";
    private static final long START_MS = 1_000_000;

    final FakeKeyValueStore store;

    /** The messages sent to other controllers: the name of the receiver, a blank, and the bytes in hexadecimal. */
    final List<String> sentToPeers = new ArrayList<>();

    /** Returns the reply of a peer to a message, or null if there is none. */
    Function<PeerMessage, PeerMessage> peerResponses = ControllerFixture::acknowledgeTerm;

    final Coordinator coordinator;
    private final Map<String, FakeWorker> workers = new HashMap<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private long nowMs = START_MS;
    private long nextTimerNumber;

    private record Timer(long dueAtMs, long number, Runnable task) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return dueAtMs != other.dueAtMs ? Long.compare(dueAtMs, other.dueAtMs) : Long.compare(number, other.number);
        }
    }

    /** A response to a user or an operator. */
    record Response(int status, JsonNode body) {}

    /**
     * Creates a controller without starting it.
     *
     * @param valueKb the largest value that the store accepts, in KiB
     */
    ControllerFixture(FakeKeyValueStore store, Features features, double valueKb) {
        this.store = store;
        this.coordinator = new Coordinator(settings(valueKb), features, this);
    }

    /** Starts a controller that becomes the leader, with all optional features off. */
    static ControllerFixture startLeader(FakeKeyValueStore store) {
        return startLeader(store, Features.NONE);
    }

    /** Starts a controller that becomes the leader. */
    static ControllerFixture startLeader(FakeKeyValueStore store, Features features) {
        ControllerFixture fixture = new ControllerFixture(store, features, 8);
        fixture.start();
        return fixture;
    }

    /** Starts the controller and lets 1,000 ms pass, in which it becomes leader or follower. */
    ControllerFixture start() {
        runTask(coordinator::start);
        advance(1000);
        return this;
    }

    /** Replies as a peer that acknowledges the term of an announcement; returns null, no reply, for other messages. */
    private static PeerMessage acknowledgeTerm(PeerMessage message) {
        return message instanceof PeerMessage.TermAnnouncement term
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

    // ---- clock and timers

    /** Advances the clock by some milliseconds, running the timers that become due. */
    void advance(long ms) {
        long endMs = nowMs + ms;
        while (!timers.isEmpty() && timers.peek().dueAtMs <= endMs) {
            Timer timer = timers.poll();
            nowMs = timer.dueAtMs;
            runTask(timer.task);
        }
        nowMs = endMs;
    }

    /** Runs a task as the controller's event loop would, as a batch of its own. */
    void runTask(Runnable task) {
        task.run();
        coordinator.endOfBatch();
    }

    @Override
    public long now() {
        return nowMs;
    }

    @Override
    public long timeOfDay() {
        return START_TIME_OF_DAY_MS + nowMs - START_MS;
    }

    @Override
    public RandomGenerator random() {
        return () -> 0L;
    }

    @Override
    public void setLogLevel(String level) {}

    @Override
    public void schedule(long delayMs, Runnable task) {
        timers.add(new Timer(nowMs + Math.max(0, delayMs), nextTimerNumber++, task));
    }

    // ---- requests and messages from the controller

    @Override
    public void request(
            String address, String method, String path, JsonNode body, long timeoutMs, ResponseHandler reply) {
        JsonNode sentBody = body == null ? null : MessageCodec.decode(MessageCodec.encode(body));
        if (address.equals(STORE_ADDRESS)) {
            FakeKeyValueStore.Response response = store.request(method, path, sentBody);
            if (response != null) {
                schedule(1, () -> reply.onResponse(response.status(), response.body()));
            }
        } else if (address.equals(CLOUD_ADDRESS)) {
            respondAsCloud(path, reply);
        } else if (workers.containsKey(address)) {
            workers.get(address).execute(sentBody);
            schedule(1, () -> reply.onResponse(200, workers.get(address).nextHeartbeat()));
        } else {
            schedule(1, () -> reply.onResponse(NOT_SENT, null));
        }
    }

    private void respondAsCloud(String path, ResponseHandler reply) {
        if (path.equals("/machine_types")) {
            schedule(
                    1,
                    () -> reply.onResponse(
                            200,
                            FakeKeyValueStore.parse(
                                    """
                    {"hulls":[{"sku":"box","cores":8,"gpus":0,"ram_gb":32,"local_gb":100,"fetch_gb_per_s":1.0,
                    "rate":12.0,"spot_price":4.5,"startup_s":45,"harbors":["za","zb"]}]}""")));
        } else if (path.startsWith("/hosts?")) {
            schedule(1, () -> reply.onResponse(200, FakeKeyValueStore.parse("{\"fleet\":[],\"more\":false}")));
        } else {
            schedule(1, () -> reply.onResponse(503, FakeKeyValueStore.parse("{\"error\":\"no capacity\"}")));
        }
    }

    @Override
    public void sendToPeer(Settings.Peer peer, PeerMessage message, long timeoutMs, Consumer<PeerMessage> reply) {
        byte[] bytes = PeerMessageCodec.encode(message);
        sentToPeers.add(peer.name() + " " + HexFormat.of().formatHex(bytes));
        PeerMessage response = peerResponses.apply(PeerMessageCodec.decode(bytes));
        schedule(1, () -> reply.accept(response));
    }

    // ---- requests to the controller

    /**
     * Sends a worker's next heartbeat, and lets the worker execute the commands in the response.
     *
     * @return the HTTP status of the response, or 0 if there was none within the time that passes, 100 ms
     */
    int sendHeartbeat(FakeWorker worker) {
        workers.put(worker.address, worker);
        int[] statuses = new int[1];
        runTask(() -> coordinator.handleHeartbeat(MessageCodec.encode(worker.nextHeartbeat()), (status, body) -> {
            statuses[0] = status;
            if (status == 200) {
                worker.execute(MessageCodec.decode(body));
            }
        }));
        advance(100);
        return statuses[0];
    }

    /** Sends a request as a user; returns the response, or null if there was none within the 100 ms that pass. */
    Response userRequest(PeerMessage.RequestKind kind, String id, String body) {
        Response[] responses = new Response[1];
        byte[] bytes = body.isEmpty() ? new byte[0] : MessageCodec.encode(FakeKeyValueStore.parse(body));
        runTask(() -> coordinator.handleUserRequest(
                kind,
                id,
                bytes,
                response -> responses[0] = new Response(response.status(), MessageCodec.decode(response.body()))));
        advance(100);
        return responses[0];
    }

    /** Sends a request as an operator; returns the response, or null if there was none within the 100 ms that pass. */
    Response operatorRequest(String method, String path, String body) {
        Response[] responses = new Response[1];
        byte[] bytes = body.isEmpty() ? new byte[0] : MessageCodec.encode(FakeKeyValueStore.parse(body));
        runTask(() -> coordinator.handleAdministrationRequest(
                method,
                path,
                bytes,
                response -> responses[0] = new Response(response.status(), MessageCodec.decode(response.body()))));
        advance(100);
        return responses[0];
    }
}
