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
import stileferry.protocol.WireNames;
import stileferry.transport.ApiClient;
import stileferry.transport.LogLevel;
import stileferry.transport.StandInHost;

/**
 * Used by the build: plays a controller's life on loopback (start, follow, take over, lead), so that the classes which
 * that needs can be archived. What is not archived is read, checked and linked at every start instead.
 */
final class ClassArchiveTraining {
    private static final int PORTS = 7;

    /** Optional parts are rehearsed too; where they are off, what is archived of them is not loaded. */
    private static final String ALL_FEATURES =
            "{\"" + Features.PARTIAL_CUTS + "\":true,\"" + Features.FAIR_ADMISSION + "\":true}";

    private static final int POLLS = 100;
    private static final byte[] NOTHING = new byte[0];

    private ClassArchiveTraining() {}

    public static void main(String[] args) throws Exception {
        LogLevel.start(System.getenv("LOG_LEVEL"));
        try {
            play(Ports.free(PORTS));
        } catch (IOException | RuntimeException e) {
            System.err.println("stileferry: the class archive will be smaller, the start slower: " + e);
        }
        System.exit(0); // the way out is rehearsed too; the archive is written at the end
    }

    private static void play(int port) throws Exception {
        Path dir = Files.createTempDirectory("rehearsal");
        Path features = dir.resolve("features.json");
        Files.writeString(features, ALL_FEATURES);
        try (StandInHost standIns = StandIns.start(port, dir);
                Controller first = Controller.builder()
                        .settings(SettingsFile.read(dir.resolve("node-0.json")).settings())
                        .features(FeaturesFile.read(features).features())
                        .build();
                ApiClient user = new ApiClient(List.of("127.0.0.1:" + (port + 1), "127.0.0.1:" + (port + 2)))) {
            first.start();
            work(user, 1);
            Thread second = new Thread(
                    () -> Daemon.run(new String[] {
                        "--config", dir.resolve("node-1.json").toString(), "--features", features.toString()
                    }),
                    "second");
            second.setDaemon(true);
            second.start();
            Thread.sleep(500);
            work(user, 5);
            first.close();
            work(user, 9);
        }
    }

    /** An array that ends, a gang, a service that is cancelled, and questions that are refused. */
    private static void work(ApiClient user, int number) throws InterruptedException {
        submit(user, number, JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL);
        submit(user, number + 1, JobSpec.Kind.GANG, JobSpec.Priority.IDLE);
        submit(user, number + 2, JobSpec.Kind.SERVICE, JobSpec.Priority.CRITICAL);
        await(user, number, "done");
        await(user, number + 2, "running");
        user.ask("POST", ApiPaths.job("job-" + (number + 2)) + ApiPaths.CANCEL, NOTHING, 10_000);
        await(user, number + 2, "cancelled");
        user.ask("POST", ApiPaths.JOBS, MessageCodec.encode(UserMessages.error("not a job")), 1000);
        user.ask("GET", ApiPaths.job("job-99"), NOTHING, 1000);
        user.ask("GET", ApiPaths.READY, NOTHING, 1000);
        user.ask("GET", "/elsewhere", NOTHING, 1000);
        user.ask("GET", ApiPaths.ADMINISTRATION + "counters", NOTHING, 1000);
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
        user.ask("POST", ApiPaths.JOBS, MessageCodec.encode(job.write()), 10_000);
    }

    private static void await(ApiClient user, int number, String state) throws InterruptedException {
        for (int i = 0; i < POLLS; i++) {
            ApiClient.Response answer = user.once("GET", ApiPaths.job("job-" + number), NOTHING);
            if (answer.body() != null
                    && answer.body().path(WireNames.STATE).asText().equals(state)) {
                return;
            }
            Thread.sleep(100);
        }
    }
}
