package stileferry.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import stileferry.protocol.Environment;
import stileferry.protocol.KeyValue;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.Settings;

/** The state service's requests, kept under its rates; leadership goes first and has a reserve. */
public final class KeyValueStoreClient {
    /** Share of the published rates that one controller allows itself; the others need a little too. */
    private static final double SHARE = 0.85;

    private static final double RESERVE = 0.2;

    /** Seconds of the rate of changes that are gathered for a transaction under load. */
    private static final double GATHER_S = 0.15;

    private static final long PUMP_MS = 20;

    /** An answer that waits for this process to read it is no lost one. */
    private static final long AMPLE_PATIENCE_MS = 1500;

    private final Environment environment;
    private final String addr;
    private final Settings.KeyValueStoreLimits limits;
    private final RateLimiter requests;
    private final RateLimiter writes;
    private final ArrayDeque<Waiting> changes = new ArrayDeque<>();
    private final ArrayDeque<Waiting> reads = new ArrayDeque<>();
    private final long timeoutMs;
    private boolean pumping;

    private record Waiting(int writeCount, Runnable send) {}

    /** A client of the service that the settings name. */
    public KeyValueStoreClient(Environment environment, Settings settings) {
        this.environment = environment;
        this.addr = settings.keyValueStoreAddress();
        this.limits = settings.keyValueStore();
        this.timeoutMs = Math.round(AMPLE_PATIENCE_MS * settings.slowness());
        this.requests = new RateLimiter(environment, limits.requestsPerS() * SHARE, 0.5);
        this.writes = new RateLimiter(environment, limits.writesPerS() * SHARE, 1.0);
    }

    /** The service's limits. */
    public Settings.KeyValueStoreLimits limits() {
        return limits;
    }

    /** Changes worth waiting for when more waits than may be written. */
    public int batchThreshold() {
        return (int) Math.max(1, Math.min(limits.writesPerS() * SHARE, Math.ceil(limits.writesPerS() * GATHER_S)));
    }

    /** Changes that may be written now without waiting. */
    public int availableWrites() {
        return requests.canAcquire(1, RESERVE) ? writes.availablePermits() : 0;
    }

    /** Runs something when there may be room again. */
    public void afterRefill(Runnable task) {
        environment.schedule(PUMP_MS, task);
    }

    /** Reads and writes that wait for their turn. */
    public int queuedRequests() {
        return changes.size() + reads.size();
    }

    /** How long an ordinary answer is waited for. */
    public long timeoutMs() {
        return timeoutMs;
    }

    /** Reads one key. */
    public void get(String key, Environment.ResponseHandler reply) {
        send(0, false, () -> environment.request(addr, "GET", "/kv/" + key, null, timeoutMs(), reply));
    }

    /** Reads all keys with a prefix, page by page. */
    public void scan(String prefix, boolean urgent, Consumer<ScanResult> done) {
        page(prefix, "", urgent, new ScanResult(new ArrayList<>(), 0, 0), done);
    }

    private void page(String prefix, String from, boolean urgent, ScanResult before, Consumer<ScanResult> done) {
        String path = "/kv?starts=" + prefix + (from.isEmpty() ? "" : "&from=" + from) + "&most=500";
        send(
                0,
                urgent,
                () -> environment.request(addr, "GET", path, null, 2 * timeoutMs(), (status, body) -> {
                    if (status != 200 || body == null) {
                        done.accept(new ScanResult(null, 0, 0));
                        return;
                    }
                    long revision = body.path("ledger_rev").asLong();
                    List<KeyValue> rows = before.rows();
                    ScanResult read =
                            new ScanResult(rows, revision, from.isEmpty() ? revision : before.firstRevision());
                    String last = from;
                    for (JsonNode row : body.path("rows")) {
                        last = row.path("path").asText();
                        rows.add(new KeyValue(
                                last, row.path("v"), row.path("entry_rev").asLong()));
                    }
                    if (body.path("more").asBoolean() && !last.equals(from)) {
                        page(prefix, last, urgent, read, done);
                    } else {
                        done.accept(read);
                    }
                }));
    }

    /** Sends a transaction. */
    public void commit(ObjectNode transaction, int writeCount, boolean urgent, Environment.ResponseHandler reply) {
        send(writeCount, urgent, () -> environment.request(addr, "POST", "/commit", transaction, timeoutMs(), reply));
    }

    /** Asks for a lease. */
    public void grantLease(long lifeMs, Environment.ResponseHandler reply) {
        send(
                0,
                true,
                () -> environment.request(
                        addr, "POST", "/leases", MessageCodec.map().put("life_ms", lifeMs), timeoutMs(), reply));
    }

    /** Renews a lease; not queued, as its time counts from the sending. */
    public void renewLease(String lease, long timeoutMs, Environment.ResponseHandler reply) {
        requests.tryAcquire(1, -1);
        environment.request(addr, "POST", "/leases/" + lease + "/touch", MessageCodec.map(), timeoutMs, reply);
    }

    /** Ends a lease. */
    public void revokeLease(String lease, Environment.ResponseHandler reply) {
        send(0, true, () -> environment.request(addr, "DELETE", "/leases/" + lease, null, timeoutMs(), reply));
    }

    /** Waits for changes below a prefix. */
    public void watch(String prefix, long from, long blockMs, Environment.ResponseHandler reply) {
        send(
                0,
                true,
                () -> environment.request(
                        addr,
                        "GET",
                        "/watch?starts=" + prefix + "&from=" + from + "&block_ms=" + blockMs,
                        null,
                        blockMs + 2 * timeoutMs(),
                        reply));
    }

    private void send(int writeCount, boolean urgent, Runnable send) {
        if (urgent) {
            requests.tryAcquire(1, -1);
            writes.tryAcquire(writeCount, -1);
            send.run();
            return;
        }
        (writeCount > 0 ? changes : reads).add(new Waiting(writeCount, send));
        pump();
    }

    /**
     * Sends what the rates allow; reads may be many, so what is to be durable goes first. A change that waits for the
     * rate of changes holds no reads up: found with floods on a state service that takes few changes, where users'
     * submissions waited for 5 s and more behind them.
     */
    private void pump() {
        while (!changes.isEmpty()
                && writes.canAcquire(changes.peek().writeCount, 0)
                && requests.tryAcquire(1, RESERVE)) {
            writes.tryAcquire(changes.peek().writeCount, 0);
            changes.poll().send.run();
        }
        while (!reads.isEmpty() && requests.tryAcquire(1, RESERVE)) {
            reads.poll().send.run();
        }
        if (!pumping && queuedRequests() > 0) {
            pumping = true;
            environment.schedule(PUMP_MS, () -> {
                pumping = false;
                pump();
            });
        }
    }
}
