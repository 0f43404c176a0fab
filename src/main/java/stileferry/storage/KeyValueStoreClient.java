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
 * Client of the consensus-backed key-value store that stays below the store's published rate limits. Urgent requests,
 * such as those of leader election, are sent at once and have a reserved share of the rate; other requests are queued,
 * writes before reads.
 */
public final class KeyValueStoreClient {
    /** Share of the published rate limits that one controller uses; the other controllers need a small share too. */
    private static final double RATE_SHARE = 0.85;

    /** Share of the request burst that only urgent requests may use. */
    private static final double URGENT_RESERVE_SHARE = 0.2;

    /**
     * Negative reserve for urgent requests: they are sent regardless of the rate, and overdraw it by up to a full
     * burst.
     */
    private static final double FULL_BURST_OVERDRAFT = -1;

    private static final double REQUEST_BURST_S = 0.5;
    private static final double WRITE_BURST_S = 1.0;

    /** Under load, as many changes are collected for one transaction as the write rate permits in this many seconds. */
    private static final double BATCH_WINDOW_S = 0.15;

    private static final long QUEUE_POLL_INTERVAL_MS = 20;

    /** Request timeout of a controller that has an ample share of a core. */
    private static final long BASE_TIMEOUT_MS = 1500;

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

    private record QueuedRequest(int writes, long queuedAt, Runnable send) {}

    /** Creates a client of the store whose address is in the settings. */
    public KeyValueStoreClient(Environment environment, Settings settings) {
        this.environment = environment;
        this.address = settings.keyValueStoreAddress();
        this.limits = settings.keyValueStore();
        this.timeoutMs = Math.round(BASE_TIMEOUT_MS * settings.slowdownFactor());
        this.requestRate = new RateLimiter(environment, limits.requestsPerS() * RATE_SHARE, REQUEST_BURST_S);
        this.writeRate = new RateLimiter(environment, limits.writesPerS() * RATE_SHARE, WRITE_BURST_S);
    }

    /** Returns the store's published limits. */
    public Settings.KeyValueStoreLimits limits() {
        return limits;
    }

    /** Returns how many changes to collect for one transaction when more are pending than may be written now. */
    public int batchThreshold() {
        return (int) Math.max(
                1, Math.min(limits.writesPerS() * RATE_SHARE, Math.ceil(limits.writesPerS() * BATCH_WINDOW_S)));
    }

    /** Returns how many changes may be written now without waiting. */
    public int availableWrites() {
        return requestRate.canAcquire(1, URGENT_RESERVE_SHARE) ? writeRate.availablePermits() : 0;
    }

    /** Runs a task after a short delay, when the rate limits may permit requests again. */
    public void afterRefill(Runnable task) {
        environment.schedule(QUEUE_POLL_INTERVAL_MS, task);
    }

    /** Returns the number of queued reads and writes. */
    public int queuedRequests() {
        return queuedWrites.size() + queuedReads.size();
    }

    /** Returns for how many milliseconds the oldest queued read has waited to be sent, or 0 if none waits. */
    public long oldestQueuedReadMs() {
        return oldestMs(queuedReads);
    }

    /** Returns for how many milliseconds the oldest queued transaction has waited to be sent, or 0 if none waits. */
    public long oldestQueuedWriteMs() {
        return oldestMs(queuedWrites);
    }

    private long oldestMs(ArrayDeque<QueuedRequest> queue) {
        return queue.isEmpty() ? 0 : environment.now() - queue.peek().queuedAt;
    }

    /** Reads one key, as a queued request. */
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

    /** Reads all keys with a prefix; the reply is a failed result if any page can't be read. */
    public void scan(String prefix, boolean urgent, Consumer<ScanResult> reply) {
        List<KeyValue> rows = new ArrayList<>();
        scanPages(
                prefix,
                urgent,
                rows::addAll,
                summary -> reply.accept(
                        summary.complete()
                                ? new ScanResult(rows, summary.revision(), summary.firstRevision())
                                : ScanResult.FAILED));
    }

    /**
     * Reads all keys with a prefix, without keeping the rows of more than one page.
     *
     * @param onPage receives the rows of each page
     * @param onEnd runs once, after the last page or after the first one that can't be read
     */
    public void scanPages(String prefix, boolean urgent, Consumer<List<KeyValue>> onPage, Consumer<ScanSummary> onEnd) {
        scanPage(new Scan(prefix, urgent, onPage, onEnd), "", ScanSummary.BEFORE_FIRST_PAGE);
    }

    private record Scan(String prefix, boolean urgent, Consumer<List<KeyValue>> onPage, Consumer<ScanSummary> onEnd) {}

    private void scanPage(Scan scan, String after, ScanSummary previous) {
        String path = KeyValueStoreProtocol.scanPath(scan.prefix, after, SCAN_PAGE_ROWS);
        send(
                0,
                scan.urgent,
                () -> environment.request(address, "GET", path, null, scanTimeoutMs(), (status, body) -> {
                    ScanPage page = KeyValueStoreProtocol.scanPage(status, body);
                    if (page == null) {
                        scan.onEnd.accept(previous);
                        return;
                    }
                    scan.onPage.accept(page.rows());
                    String last = page.rows().isEmpty() ? after : lastKey(page);
                    boolean isLast = !page.hasMore() || last.equals(after);
                    ScanSummary summary = previous.with(page, isLast);
                    if (isLast) {
                        scan.onEnd.accept(summary);
                    } else {
                        scanPage(scan, last, summary);
                    }
                }));
    }

    /** Returns after how many milliseconds the read of one page of a scan has failed. */
    public long scanTimeoutMs() {
        return 2 * timeoutMs;
    }

    private static String lastKey(ScanPage page) {
        List<KeyValue> rows = page.rows();
        return rows.get(rows.size() - 1).key();
    }

    /** Sends a transaction, which counts against the write rate with the number of its changes. */
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

    /** Requests a lease; the reply is null if none was granted. */
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

    /** Renews a lease; never queued, because the lease counts from when the renewal is sent. */
    public void renewLease(String leaseId, long renewalTimeoutMs, Consumer<LeaseRenewal> reply) {
        requestRate.tryAcquire(1, FULL_BURST_OVERDRAFT);
        environment.request(
                address,
                "POST",
                KeyValueStoreProtocol.leaseRenewalPath(leaseId),
                MessageCodec.map(),
                renewalTimeoutMs,
                (status, body) -> reply.accept(KeyValueStoreProtocol.leaseRenewal(status)));
    }

    /** Revokes a lease; the action runs regardless of the outcome. */
    public void revokeLease(String leaseId, Runnable onDone) {
        String path = KeyValueStoreProtocol.leasePath(leaseId);
        send(
                0,
                true,
                () -> environment.request(address, "DELETE", path, null, timeoutMs, (status, body) -> onDone.run()));
    }

    /**
     * Waits for changes to keys with a prefix; the reply is null if the request failed.
     *
     * @param blockMs how long the store waits for a change before it replies
     */
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
            requestRate.tryAcquire(1, FULL_BURST_OVERDRAFT);
            writeRate.tryAcquire(writes, FULL_BURST_OVERDRAFT);
            send.run();
            return;
        }
        (writes > 0 ? queuedWrites : queuedReads).add(new QueuedRequest(writes, environment.now(), send));
        sendQueued();
    }

    /** Sends queued requests as the rate limits permit. A write that waits for the write rate does not delay reads. */
    private void sendQueued() {
        while (!queuedWrites.isEmpty()
                && writeRate.canAcquire(queuedWrites.peek().writes, 0)
                && requestRate.tryAcquire(1, URGENT_RESERVE_SHARE)) {
            writeRate.tryAcquire(queuedWrites.peek().writes, 0);
            queuedWrites.poll().send.run();
        }
        while (!queuedReads.isEmpty() && requestRate.tryAcquire(1, URGENT_RESERVE_SHARE)) {
            queuedReads.poll().send.run();
        }
        pollLater();
    }

    private void pollLater() {
        if (!pollScheduled && queuedRequests() > 0) {
            pollScheduled = true;
            environment.schedule(QUEUE_POLL_INTERVAL_MS, () -> {
                pollScheduled = false;
                sendQueued();
            });
        }
    }
}
