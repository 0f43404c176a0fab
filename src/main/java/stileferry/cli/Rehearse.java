package stileferry.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import stileferry.Controller;
import stileferry.protocol.JobSpec;
import stileferry.protocol.Wire;
import stileferry.transport.StandInHost;
import stileferry.transport.UserClient;

/** Plays a small day on loopback, so that the build can archive the classes that a controller loads. */
@Command(name = "rehearse", hidden = true, description = "Used by the build.")
final class Rehearse implements Callable<Integer> {
    private static final int PORT = 17_700;
    private static final int POLLS = 60;

    @Override
    public Integer call() throws Exception {
        try {
            play();
        } catch (java.io.IOException | RuntimeException e) {
            System.err.println("stileferry: the class archive will be smaller, the start slower: " + e);
        }
        return 0; // the way out is rehearsed too; the archive is written at the end
    }

    private static void play() throws Exception {
        Path dir = Files.createTempDirectory("rehearse");
        JobSpec job = new JobSpec("job-1", "any", "blue", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 2, 1, 0, 1,
                "image", 0.1, null, null, false, false, true, 0.5, 0, 0, -1);
        try (StandInHost standIns = StandIns.start(PORT, dir);
                Controller first = Controller.builder().settings(settings(dir, 0)).build();
                Controller second = Controller.builder().settings(settings(dir, 1)).build();
                UserClient user = new UserClient(List.of("127.0.0.1:" + (PORT + 1), "127.0.0.1:" + (PORT + 2)))) {
            first.start();
            second.start();
            user.ask("POST", "/work", Wire.encode(job.write()), 10_000);
            for (int i = 0; i < POLLS; i++) {
                UserClient.Answer answer = user.once("GET", "/work/job-1", new byte[0]);
                if (answer.body() != null && answer.body().path("tide").asText().equals("done")) {
                    break;
                }
                Thread.sleep(100);
            }
        }
    }

    private static stileferry.protocol.Settings settings(Path dir, int node) {
        return SettingsFile.read(dir.resolve("node-" + node + ".json")).settings();
    }
}
