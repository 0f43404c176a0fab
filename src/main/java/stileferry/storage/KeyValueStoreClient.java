package stileferry.storage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import stileferry.protocol.Environment;
import stileferry.protocol.KeyValue;
import stileferry.protocol.KeyValueStoreProtocol;
import stileferry.protocol.KeyValueStoreProtocol.CommitRequest;
import stileferry.protocol.KeyValueStoreProtocol.CommitResult;
import stileferry.protocol.KeyValueStoreProtocol.LeaseGrant;
import stileferry.protocol.KeyValueStoreProtocol.LeaseRenewal;
import stileferry.protocol.KeyValueStoreProtocol.ReadResult;
import stileferry.protocol.KeyValueStoreProtocol.ScanPage;
import stileferry.protocol.KeyValueStoreProtocol.WatchResult;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.Settings;

/**
 * The client of the consensus-backed key-value store, kept under the store's published rates. Urgent requests, which
 * are the leadership's, are sent at once and have a reserve; others queue, writes before reads.
 */
public final class KeyValueStoreClient {
    /** Share of the published rates that one controller allows itself; the others need a little too. */
    private static final double RATE_SHARE = 0.85;

    /** Share of the request burst that only urgent requests may use. */
    private static final double URGENT_RESERVE = 0.2;

    /** Urgent requests are sent whatever the rate, and lend from it up to a whole burst. */
    private static final double OVERDRAFT = -1;

    private static final double REQUEST_BURST_S = 0.5;
    private static final double WRITE_BURST_S = 1.0;

    /** Seconds of the write rate that are gathered for one transaction under load. */
    private static final double BATCH_S = 0.15;

    private static final long QUEUE_POLL_MS = 20;

    /** A request's timeout on an ample share of a core. */
    private static final long TIMEOUT_MS = 1500;

    private static final int SCAN_PAGE_ROWS = 500;

    private final Environment environment;
    private final String address;
    private final Settings.KeyValueStoreLimits limits;
    private final RateLimiter requestRate;
    private final RateLimiter writeRate;
    private final ArrayDeque<QueuedRequest> queuedWrites = new ArrayDeque<>();
    private final ArrayDeque<QueuedRequest> queuedReads = new ArrayDeque<>();
    private final long timeoutMs;
    private boolean pollScheduled;

    private record QueuedRequest(int writes, Runnable send) {}

    /** A client of the store that the settings name. */
    public KeyValueStoreClient(Environment environment, Settings settings) {
        this.environment = environment;
        this.address = settings.keyValueStoreAddress();
        this.limits = settings.keyValueStore();
        this.timeoutMs = Math.round(TIMEOUT_MS * settings.slowdownFactor());
        this.requestRate = new RateLimiter(environment, limits.requestsPerS() * RATE_SHARE, REQUEST_BURST_S);
        this.writeRate = new RateLimiter(environment, limits.writesPerS() * RATE_SHARE, WRITE_BURST_S);
    }

    /** The store's limits. */
    public Settings.KeyValueStoreLimits limits() {
        return limits;
    }

    /** Changes worth gathering for one transaction when more wait than may be written. */
    public int batchThreshold() {
        return (int) Math.max(1, Math.min(limits.writesPerS() * RATE_SHARE, Math.ceil(limits.writesPerS() * BATCH_S)));
    }

    /** Changes that may be written now without waiting. */
    public int availableWrites() {
        return requestRate.canAcquire(1, URGENT_RESERVE) ? writeRate.availablePermits() : 0;
    }

    /** Runs a task when the rates may have room again. */
    public void afterRefill(Runnable task) {
        environment.schedule(QUEUE_POLL_MS, task);
    }

    /** Reads and writes that wait for their turn. */
    public int queuedRequests() {
        return queuedWrites.size() + queuedReads.size();
    }

    /** Reads one key. */
    public void get(String key, Consumer<ReadResult> reply) {
        String path = KeyValueStoreProtocol.keyPath(key);
        send(
                0,
                false,
                () -> environment.request(
                        address,
                        "GET",
                        path,
                        null,
                        timeoutMs,
                        (status, body) -> reply.accept(KeyValueStoreProtocol.readResult(status, body))));
    }

    /** Reads all keys with a prefix, page by page. */
    public void scan(String prefix, boolean urgent, Consumer<ScanResult> reply) {
        scanPage(prefix, "", urgent, new ScanResult(new ArrayList<>(), 0, 0), reply);
    }

    private void scanPage(String prefix, String after, boolean urgent, ScanResult before, Consumer<ScanResult> reply) {
        String path = KeyValueStoreProtocol.scanPath(prefix, after, SCAN_PAGE_ROWS);
        send(
                0,
                urgent,
                () -> environment.request(address, "GET", path, null, 2 * timeoutMs, (status, body) -> {
                    ScanPage page = KeyValueStoreProtocol.scanPage(status, body);
                    if (page == null) {
                        reply.accept(ScanResult.FAILED);
                        return;
                    }
                    ScanResult result = before.with(page, after.isEmpty());
                    String last = page.rows().isEmpty() ? after : lastKey(page);
                    if (page.hasMore() && !last.equals(after)) {
                        scanPage(prefix, last, urgent, result, reply);
                    } else {
                        reply.accept(result);
                    }
                }));
    }

    private static String lastKey(ScanPage page) {
        List<KeyValue> rows = page.rows();
        return rows.get(rows.size() - 1).key();
    }

    /** Sends a transaction. */
    public void commit(CommitRequest request, boolean urgent, Consumer<CommitResult> reply) {
        send(
                request.changes(),
                urgent,
                () -> environment.request(
                        address,
                        "POST",
                        KeyValueStoreProtocol.COMMIT_PATH,
                        request.body(),
                        timeoutMs,
                        (status, body) -> reply.accept(KeyValueStoreProtocol.commitResult(status, body))));
    }

    /** Asks for a lease; null stands for none. */
    public void grantLease(long durationMs, Consumer<LeaseGrant> reply) {
        send(
                0,
                true,
                () -> environment.request(
                        address,
                        "POST",
                        KeyValueStoreProtocol.LEASES_PATH,
                        KeyValueStoreProtocol.leaseRequest(durationMs),
                        timeoutMs,
                        (status, body) -> reply.accept(KeyValueStoreProtocol.leaseGrant(status, body))));
    }

    /** Renews a lease; never queued, as the renewed time counts from the sending. */
    public void renewLease(String leaseId, long renewalTimeoutMs, Consumer<LeaseRenewal> reply) {
        requestRate.tryAcquire(1, OVERDRAFT);
        environment.request(
                address,
                "POST",
                KeyValueStoreProtocol.leaseRenewalPath(leaseId),
                MessageCodec.map(),
                renewalTimeoutMs,
                (status, body) -> reply.accept(KeyValueStoreProtocol.leaseRenewal(status)));
    }

    /** Ends a lease; the action runs whatever the outcome. */
    public void revokeLease(String leaseId, Runnable then) {
        String path = KeyValueStoreProtocol.leasePath(leaseId);
        send(
                0,
                true,
                () -> environment.request(address, "DELETE", path, null, timeoutMs, (status, body) -> then.run()));
    }

    /** Waits for changes below a prefix; null stands for a failed request. */
    public void watch(String prefix, long afterRevision, long blockMs, Consumer<WatchResult> reply) {
        String path = KeyValueStoreProtocol.watchPath(prefix, afterRevision, blockMs);
        send(
                0,
                true,
                () -> environment.request(
                        address,
                        "GET",
                        path,
                        null,
                        blockMs + 2 * timeoutMs,
                        (status, body) -> reply.accept(KeyValueStoreProtocol.watchResult(status, body))));
    }

    private void send(int writes, boolean urgent, Runnable send) {
        if (urgent) {
            requestRate.tryAcquire(1, OVERDRAFT);
            writeRate.tryAcquire(writes, OVERDRAFT);
            send.run();
            return;
        }
        (writes > 0 ? queuedWrites : queuedReads).add(new QueuedRequest(writes, send));
        sendQueued();
    }

    /** Sends what the rates allow. A write that waits for the write rate holds no reads up. */
    private void sendQueued() {
        while (!queuedWrites.isEmpty()
                && writeRate.canAcquire(queuedWrites.peek().writes, 0)
                && requestRate.tryAcquire(1, URGENT_RESERVE)) {
            writeRate.tryAcquire(queuedWrites.peek().writes, 0);
            queuedWrites.poll().send.run();
        }
        while (!queuedReads.isEmpty() && requestRate.tryAcquire(1, URGENT_RESERVE)) {
            queuedReads.poll().send.run();
        }
        pollLater();
    }

    private void pollLater() {
        if (!pollScheduled && queuedRequests() > 0) {
            pollScheduled = true;
            environment.schedule(QUEUE_POLL_MS, () -> {
                pollScheduled = false;
                sendQueued();
            });
        }
    }
}
