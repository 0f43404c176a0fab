package stileferry.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import stileferry.transport.StandInServer;

/** Users ask a follower about many jobs while the leader stands still for a moment, as a busy one does. */
class QuestionsThroughFollowerTest {
    private static final int MACHINES = 1500;
    private static final int TASKS_PER_MACHINE = 16;
    private static final int VALUE_KB = 8;
    private static final int OK = 200;
    private static final Duration USER_TIMEOUT = Duration.ofSeconds(2);
    private static final long LEADER_PAUSE_MS = 500;
    private static final long FIRST_ANSWER_TIMEOUT_MS = 75_000;

    /** Users ask about every 5 s, and 75 s without an answer is forgotten; three times are a fifth of that. */
    private static final int ROUNDS = 3;

    @TempDir
    private Path dir;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** Guards against questions that a follower refuses or gives up although the leader could answer them in time. */
    @Test
    @Timeout(200)
    void questionsThatTheLeaderCanAnswerInTimeAreNotRefusedForBeingMany() throws Exception {
        int port = Ports.findFreeRange(7);
        try (StandInServer standIns = StandIns.start(port, dir);
                ControllerProcesses controllers = new ControllerProcesses(dir, port, 1, UnaryOperator.identity())) {
            List<String> jobs = new FullStore(standIns.address(), VALUE_KB).write(MACHINES, TASKS_PER_MACHINE);
            controllers.start();
            awaitAnswer(controllers, jobs.get(0));
            int leader = controllers.leader();
            String follower = controllers.addresses().get((leader + 1) % StandInSettings.CONTROLLERS);
            List<String> unanswered = jobs;
            for (int round = 0; round < ROUNDS; round++) {
                controllers.get(leader).pause();
                List<CompletableFuture<Integer>> statuses = ask(follower, unanswered);
                Thread.sleep(LEADER_PAUSE_MS);
                controllers.get(leader).resume();
                unanswered = withoutAnswer(unanswered, statuses);
            }
            assertEquals(List.of(), unanswered, controllers::logs);
        }
    }

    private void awaitAnswer(ControllerProcesses controllers, String job) throws InterruptedException {
        long deadline = System.currentTimeMillis() + FIRST_ANSWER_TIMEOUT_MS;
        for (String address : controllers.addresses()) {
            while (ask(address, List.of(job)).get(0).join() != OK && System.currentTimeMillis() < deadline) {
                Thread.sleep(100);
            }
        }
    }

    private List<CompletableFuture<Integer>> ask(String address, List<String> jobs) {
        List<CompletableFuture<Integer>> statuses = new ArrayList<>();
        for (String job : jobs) {
            HttpRequest question = HttpRequest.newBuilder(URI.create("http://" + address + "/work/" + job))
                    .timeout(USER_TIMEOUT)
                    .build();
            statuses.add(client.sendAsync(question, HttpResponse.BodyHandlers.discarding())
                    .handle((response, failure) -> failure == null ? response.statusCode() : 0));
        }
        return statuses;
    }

    private static List<String> withoutAnswer(List<String> jobs, List<CompletableFuture<Integer>> statuses) {
        List<String> unanswered = new ArrayList<>();
        for (int i = 0; i < jobs.size(); i++) {
            if (statuses.get(i).join() != OK) {
                unanswered.add(jobs.get(i));
            }
        }
        return unanswered;
    }
}
