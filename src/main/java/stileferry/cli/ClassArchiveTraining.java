package stileferry.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import stileferry.Controller;
import stileferry.protocol.ApiPaths;
import stileferry.protocol.Features;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.UserMessages;
import stileferry.protocol.UserMessages.JobState;
import stileferry.transport.ApiClient;
import stileferry.transport.LogLevel;
import stileferry.transport.StandInServer;

/**
 * The training run with which the build creates the class data sharing archive: runs controllers on loopback through
 * all roles (starting, following, taking over, leading), so that the classes needed are loaded and can be archived. The
 * JVM has to read, verify and link all other classes at every start.
 */
final class ClassArchiveTraining {
    private static final int PORT_COUNT = 7;

    /** Optional features are exercised, too. Where they are disabled, their archived classes are not loaded. */
    private static final String ALL_FEATURES =
            "{\"" + Features.PARTIAL_CUTS + "\":true,\"" + Features.FAIR_ADMISSION + "\":true}";

    private static final int MAX_POLLS = 100;
    private static final long POLL_INTERVAL_MS = 100;

    /** The time given to the second controller to start. */
    private static final long SECOND_CONTROLLER_START_MS = 500;

    /** The time limit of submissions and cancellations, including retries. */
    private static final long CHANGE_TIMEOUT_MS = 10_000;

    /** The time limit of reads and of requests that are rejected, including retries. */
    private static final long QUERY_TIMEOUT_MS = 1000;

    private static final byte[] NO_BODY = new byte[0];

    private ClassArchiveTraining() {}

    /**
     * Runs the training and ends the process. A failure is not fatal: with an incomplete archive the start is only
     * slower.
     */
    public static void main(String[] args) throws Exception {
        LogLevel.initialize(System.getenv("LOG_LEVEL"));
        try {
            runTraining(Ports.findFreeRange(PORT_COUNT));
        } catch (IOException | RuntimeException e) { // broad catch: the build goes on with a smaller archive
            System.err.println(
                    "stileferry: training run failed, so the class archive is smaller and the start slower: " + e);
        }
        System.exit(0); // includes the shutdown in the training; the JVM writes the archive at exit
    }

    @SuppressWarnings("try") // the stand-ins only need to run meanwhile, and one controller is closed within the body
    private static void runTraining(int port) throws Exception {
        Path dir = Files.createTempDirectory("rehearsal");
        Path features = dir.resolve("features.json");
        Files.writeString(features, ALL_FEATURES);
        try (StandInServer standIns = StandIns.start(port, dir);
                Controller first = Controller.builder()
                        .settings(SettingsFile.read(dir.resolve("node-0.json")).settings())
                        .features(FeaturesFile.read(features).features())
                        .build();
                ApiClient user = new ApiClient(List.of("127.0.0.1:" + (port + 1), "127.0.0.1:" + (port + 2)))) {
            first.start();
            runJobs(user, 1);
            startSecond(dir.resolve("node-1.json"), features);
            Thread.sleep(SECOND_CONTROLLER_START_MS);
            runJobs(user, 5);
            first.close();
            runJobs(user, 9);
        }
    }

    /** Starts another controller in the same way as service managers do. */
    private static void startSecond(Path settings, Path features) {
        String[] args = {"--config", settings.toString(), "--features", features.toString()};
        Thread second = new Thread(() -> Daemon.run(args), "second");
        second.setDaemon(true);
        second.start();
    }

    /** Runs an array to completion, a gang, and a service that is cancelled, and sends requests that are rejected. */
    private static void runJobs(ApiClient user, int firstNumber) throws InterruptedException {
        submit(user, firstNumber, JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL);
        submit(user, firstNumber + 1, JobSpec.Kind.GANG, JobSpec.Priority.IDLE);
        submit(user, firstNumber + 2, JobSpec.Kind.SERVICE, JobSpec.Priority.CRITICAL);
        await(user, firstNumber, "done");
        await(user, firstNumber + 2, "running");
        user.sendWithRetries(
                "POST",
                ApiPaths.jobPath("job-" + (firstNumber + 2)) + ApiPaths.CANCEL_SUFFIX,
                NO_BODY,
                CHANGE_TIMEOUT_MS);
        await(user, firstNumber + 2, "cancelled");
        user.sendWithRetries(
                "POST", ApiPaths.JOBS, MessageCodec.encode(UserMessages.error("not a job")), QUERY_TIMEOUT_MS);
        user.sendWithRetries("GET", ApiPaths.jobPath("job-99"), NO_BODY, QUERY_TIMEOUT_MS);
        user.sendWithRetries("GET", ApiPaths.READY, NO_BODY, QUERY_TIMEOUT_MS);
        user.sendWithRetries("GET", "/elsewhere", NO_BODY, QUERY_TIMEOUT_MS);
        user.sendWithRetries("GET", ApiPaths.ADMINISTRATION_PREFIX + "counters", NO_BODY, QUERY_TIMEOUT_MS);
    }

    private static void submit(ApiClient user, int number, JobSpec.Kind kind, JobSpec.Priority priority)
            throws InterruptedException {
        JobSpec job = new JobSpec(
                "job-" + number,
                "any",
                "blue",
                kind,
                priority,
                3,
                1,
                0,
                1,
                "image-" + number,
                0.1,
                null,
                null,
                false,
                kind == JobSpec.Kind.SERVICE,
                kind != JobSpec.Kind.SERVICE,
                0.5,
                0,
                0,
                -1);
        user.sendWithRetries("POST", ApiPaths.JOBS, MessageCodec.encode(job.write()), CHANGE_TIMEOUT_MS);
    }

    private static void await(ApiClient user, int number, String state) throws InterruptedException {
        for (int i = 0; i < MAX_POLLS; i++) {
            ApiClient.Response response = user.sendOnce("GET", ApiPaths.jobPath("job-" + number), NO_BODY);
            if (response.body() != null
                    && JobState.read(response.body()).state().equals(state)) {
                return;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }
}
