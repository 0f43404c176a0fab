package stileferry.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import stileferry.protocol.JobSpec;
import stileferry.protocol.JobSpecBuilder;
import stileferry.protocol.MessageCodec;

/**
 * The traffic of a fleet: heartbeats of all machines, a question about each job every few seconds at some controller,
 * and new jobs.
 */
final class FleetTraffic implements AutoCloseable {
    private static final long POLL_INTERVAL_MS = 5000;
    private static final long HEARTBEAT_INTERVAL_MS = 6000;
    private static final long SUBMISSION_INTERVAL_MS = 200;
    private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration SUBMISSION_TIMEOUT = Duration.ofSeconds(5);
    private static final int OK = 200;

    private final List<String> addresses;
    private final List<String> jobs;
    private final HeartbeatLoad heartbeats;
    private final HttpClient users = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(500))
            .build();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(3);
    private final Map<String, Long> lastAnsweredAt = new ConcurrentHashMap<>();
    private final Map<Integer, AtomicLong> statuses = new ConcurrentHashMap<>();
    private final AtomicInteger requests = new AtomicInteger();

    /** Starts the traffic of a {@link FullStore} at the controllers with these addresses. */
    FleetTraffic(List<String> addresses, int machines, int tasksPerMachine, List<String> jobs) {
        this.addresses = addresses;
        this.jobs = jobs;
        this.heartbeats = new HeartbeatLoad(addresses, machines, tasksPerMachine);
        timers.scheduleWithFixedDelay(this::sendHeartbeats, 0, HEARTBEAT_INTERVAL_MS, TimeUnit.MILLISECONDS);
        timers.scheduleAtFixedRate(this::submit, 0, SUBMISSION_INTERVAL_MS, TimeUnit.MILLISECONDS);
        long intervalNanos = TimeUnit.MILLISECONDS.toNanos(POLL_INTERVAL_MS) / jobs.size();
        timers.scheduleAtFixedRate(this::askAboutNextJob, 0, intervalNanos, TimeUnit.NANOSECONDS);
    }

    private void sendHeartbeats() {
        try {
            heartbeats.sendRound();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void askAboutNextJob() {
        int request = requests.getAndIncrement();
        String job = jobs.get(request % jobs.size());
        HttpRequest question =
                request("/work/" + job, request).timeout(STATUS_TIMEOUT).build();
        users.sendAsync(question, HttpResponse.BodyHandlers.discarding()).whenComplete((response, failure) -> {
            int status = failure == null ? response.statusCode() : 0;
            statuses.computeIfAbsent(status, any -> new AtomicLong()).incrementAndGet();
            if (status == OK) {
                lastAnsweredAt.put(job, System.nanoTime());
            }
        });
    }

    private void submit() {
        int request = requests.getAndIncrement();
        JobSpec spec = JobSpecBuilder.of(JobSpec.Kind.ARRAY, "job-" + (500_000 + request))
                .team("blue")
                .tasks(1)
                .cpus(1)
                .imageGb(0.1)
                .allowsSpot(true)
                .runS(600)
                .build();
        HttpRequest submission = request("/work", request)
                .timeout(SUBMISSION_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofByteArray(MessageCodec.encode(spec.write())))
                .build();
        users.sendAsync(submission, HttpResponse.BodyHandlers.discarding());
    }

    /** Begins a request to a controller that its number chooses, so that each job meets all controllers in turn. */
    private HttpRequest.Builder request(String path, int number) {
        int controller = (number / jobs.size() + number) % addresses.size();
        return HttpRequest.newBuilder(URI.create("http://" + addresses.get(controller) + path));
    }

    /** Waits until a question that is asked from now on is answered; returns whether one is in time. */
    boolean awaitAnswer(long timeoutMs) throws InterruptedException {
        long begunAt = System.nanoTime();
        long deadline = begunAt + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (jobsUnansweredSince(begunAt).size() == jobs.size()) {
            if (System.nanoTime() > deadline) {
                return false;
            }
            Thread.sleep(100);
        }
        return true;
    }

    /** Returns the jobs about which no question was answered after a time on the nanosecond clock. */
    List<String> jobsUnansweredSince(long nanos) {
        return jobs.stream()
                .filter(job -> lastAnsweredAt.getOrDefault(job, nanos - 1) - nanos < 0)
                .toList();
    }

    /** Returns how many questions got which status; 0: no response. */
    String describe() {
        return "questions by status: " + new TreeMap<>(statuses);
    }

    @Override
    public void close() throws IOException {
        timers.shutdownNow();
    }
}
