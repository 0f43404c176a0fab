package stileferry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import stileferry.cli.AnswerChecker.Answer;
import stileferry.cli.AnswerChecker.JobRecord;
import stileferry.cli.AnswerChecker.Request;
import stileferry.protocol.JobSpec;
import stileferry.protocol.JobSpecBuilder;
import stileferry.protocol.MessageCodec;

/** Users of a soak run: they submit, repeat, ask and cancel at all controllers, whatever fails meanwhile. */
final class SoakUsers {
    static final double CPUS_PER_TASK = 2;

    private static final int USERS = 3;
    private static final int MAX_UNFINISHED_JOBS = 40;
    private static final int MAX_SERVICES = 6;
    private static final int SERVICE_TASKS = 2;
    private static final int MAX_ARRAY_TASKS = 4;
    private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(5);

    private final SoakCluster cluster;
    private final AnswerChecker checker;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(500))
            .build();
    private final AtomicInteger lastJobNumber = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    SoakUsers(SoakCluster cluster, AnswerChecker checker) {
        this.cluster = cluster;
        this.checker = checker;
    }

    void start(long seed) {
        for (int user = 0; user < USERS; user++) {
            SplittableRandom random = new SplittableRandom(seed * USERS + user);
            Thread thread = new Thread(() -> act(random), "user-" + user);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    void stop() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void act(SplittableRandom random) {
        try {
            while (!stopped) {
                actOnce(random);
                Thread.sleep(random.nextLong(5, 120));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void actOnce(SplittableRandom random) throws InterruptedException {
        List<JobRecord> jobs = new ArrayList<>(checker.jobs());
        int action = random.nextInt(100);
        if (jobs.isEmpty() || action < 30) {
            submitNew(jobs, random);
            return;
        }
        JobRecord job = jobs.get(random.nextInt(jobs.size()));
        int controller = random.nextInt(SoakCluster.CONTROLLERS);
        if (action < 65) {
            askEverywhere(job, controller);
        } else if (action < 82) {
            submit(job, controller);
        } else if (action < 96) {
            cancelSome(job, controller);
        } else {
            String unknown = "job-" + (900_000 + random.nextInt(1000));
            checker.checkUnknownJob(unknown, sendForStatus(controller, unknown));
        }
    }

    private void submitNew(List<JobRecord> jobs, SplittableRandom random) throws InterruptedException {
        if (jobs.stream().filter(job -> !job.ended()).count() >= MAX_UNFINISHED_JOBS) {
            return;
        }
        boolean service = random.nextInt(6) == 0
                && jobs.stream().filter(job -> job.service && !job.ended()).count() < MAX_SERVICES;
        int tasks = service ? SERVICE_TASKS : random.nextInt(1, MAX_ARRAY_TASKS + 1);
        JobRecord job = checker.add("job-" + lastJobNumber.incrementAndGet(), tasks, CPUS_PER_TASK, service);
        submit(job, random.nextInt(SoakCluster.CONTROLLERS));
        if (random.nextInt(4) == 0) {
            askEverywhere(job, 0);
        }
    }

    /** Returns the spec of a job, which depends on its number alone, so that a repeated submission is the same. */
    private static byte[] spec(JobRecord job) {
        SplittableRandom random = new SplittableRandom(job.id.hashCode());
        return MessageCodec.encode(JobSpecBuilder.of(job.service ? JobSpec.Kind.SERVICE : JobSpec.Kind.ARRAY, job.id)
                .team(limited(job) ? "red" : "blue")
                .tasks(job.tasks)
                .cpus(CPUS_PER_TASK)
                .imageGb(0.1)
                .allowsSpot(!job.service)
                .runS(job.service ? 0 : random.nextDouble(0.2, 4))
                .build()
                .write());
    }

    /** Returns whether the job belongs to the team that has a limit; services would fill it for good. */
    static boolean limited(JobRecord job) {
        return !job.service && new SplittableRandom(job.id.hashCode()).nextBoolean();
    }

    private void cancelSome(JobRecord job, int controller) throws InterruptedException {
        boolean repeats = job.cancelRequested();
        if (repeats || job.accepted() && !job.ended()) {
            cancel(job, controller);
        }
    }

    // ---- requests

    /** Asks about a job at all controllers, one right after the other. */
    void askEverywhere(JobRecord job, int first) throws InterruptedException {
        for (int i = 0; i < SoakCluster.CONTROLLERS; i++) {
            ask(job, (first + i) % SoakCluster.CONTROLLERS);
        }
    }

    /** Asks about a job; returns the status of the response, 0 if there was none. */
    int ask(JobRecord job, int controller) throws InterruptedException {
        return send(job, Request.STATUS, controller, "GET", "/work/" + job.id, new byte[0], STATUS_TIMEOUT);
    }

    void submit(JobRecord job, int controller) throws InterruptedException {
        send(job, Request.SUBMIT, controller, "POST", "/work", spec(job), CHANGE_TIMEOUT);
    }

    void cancel(JobRecord job, int controller) throws InterruptedException {
        checker.cancelRequested(job, TaskHistory.now());
        send(job, Request.CANCEL, controller, "POST", "/work/" + job.id + "/withdraw", new byte[0], CHANGE_TIMEOUT);
    }

    private int send(
            JobRecord job, Request kind, int controller, String method, String path, byte[] body, Duration timeout)
            throws InterruptedException {
        long askedAt = TaskHistory.now();
        HttpResponse<byte[]> response = send(controller, method, path, body, timeout);
        if (response == null) {
            return 0;
        }
        JsonNode decoded = response.body().length == 0 ? null : MessageCodec.decode(response.body());
        String state = decoded == null ? "" : decoded.path("tide").asText();
        checker.check(job, new Answer(kind, controller, askedAt, TaskHistory.now(), response.statusCode(), state));
        return response.statusCode();
    }

    private int sendForStatus(int controller, String id) throws InterruptedException {
        HttpResponse<byte[]> response = send(controller, "GET", "/work/" + id, new byte[0], STATUS_TIMEOUT);
        return response == null ? 0 : response.statusCode();
    }

    /** Sends one request; returns null if there is no response. */
    private HttpResponse<byte[]> send(int controller, String method, String path, byte[] body, Duration timeout)
            throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + cluster.address(controller) + path))
                .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
                .timeout(timeout)
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofByteArray());
        } catch (IOException e) {
            return null;
        }
    }
}
