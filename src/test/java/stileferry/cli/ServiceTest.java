package stileferry.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stileferry.Controller;
import stileferry.protocol.JobSpec;
import stileferry.protocol.JobSpecBuilder;
import stileferry.protocol.MessageCodec;
import stileferry.transport.ApiClient;
import stileferry.transport.StandInServer;

/** End-to-end tests of three real controllers on loopback, against this project's stand-ins. */
class ServiceTest {
    private static final byte[] NO_BODY = new byte[0];

    @TempDir
    static Path dir;

    private static int port;
    private static StandInServer standIns;
    private static final List<Controller> RUNNING_CONTROLLERS = new ArrayList<>();
    private static ApiClient user;

    @BeforeAll
    static void start() throws Exception {
        port = Ports.findFreeRange(7);
        standIns = StandIns.start(port, dir);
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Controller controller = Controller.builder()
                    .settings(SettingsFile.read(dir.resolve("node-" + i + ".json"))
                            .settings())
                    .build();
            controller.start();
            RUNNING_CONTROLLERS.add(controller);
            addresses.add("127.0.0.1:" + (port + 1 + i));
        }
        user = new ApiClient(addresses);
        awaitStatus("/ready", 200);
        awaitStatus("/work/job-0", 404);
    }

    @AfterAll
    static void stop() {
        user.close();
        RUNNING_CONTROLLERS.forEach(Controller::close);
        standIns.close();
    }

    private static void awaitStatus(String path, int status) throws InterruptedException {
        int last = 0;
        for (int i = 0; i < 200; i++) {
            last = user.sendOnce("GET", path, NO_BODY).status();
            if (last == status) {
                return;
            }
            Thread.sleep(50);
        }
        assertEquals(status, last, path);
    }

    private static ObjectNode job(int number, JobSpec.Kind kind, int tasks) {
        return JobSpecBuilder.of(kind, "job-" + number)
                .team("red")
                .priority(JobSpec.Priority.NORMAL)
                .tasks(tasks)
                .imageGb(0.1)
                .runS(0.3)
                .build()
                .write();
    }

    private static int submit(ObjectNode job) throws InterruptedException {
        return user.sendWithRetries("POST", "/work", MessageCodec.encode(job), 10_000)
                .status();
    }

    private static void awaitJobState(int number, String state) throws InterruptedException {
        String last = "";
        for (int i = 0; i < 200; i++) {
            ApiClient.Response response = user.sendWithRetries("GET", "/work/job-" + number, NO_BODY, 10_000);
            assertEquals(200, response.status(), "an accepted job must never be unknown");
            last = response.body().path("tide").asText();
            if (last.equals(state)) {
                return;
            }
            Thread.sleep(50);
        }
        assertEquals(state, last);
    }

    @Test
    void completedJobStaysKnown() throws InterruptedException {
        assertEquals(201, submit(job(1, JobSpec.Kind.ARRAY, 3)));
        assertEquals(200, submit(job(1, JobSpec.Kind.ARRAY, 3)));
        awaitJobState(1, "done");
        ObjectNode changed = job(1, JobSpec.Kind.ARRAY, 3).put("cores", -5);
        assertEquals(
                200,
                submit(changed),
                "a known id must be answered with the job's state, whatever the rest of the body is");
        assertEquals(
                200,
                user.sendWithRetries("POST", "/work/job-1/withdraw", NO_BODY, 10_000)
                        .status());
        awaitJobState(1, "done");
    }

    @Test
    void serviceRunsUntilCancelled() throws InterruptedException {
        assertEquals(201, submit(job(2, JobSpec.Kind.SERVICE, 2)));
        awaitJobState(2, "running");
        ApiClient.Response response = user.sendWithRetries("POST", "/work/job-2/withdraw", NO_BODY, 10_000);
        assertEquals(200, response.status());
        assertEquals("cancelled", response.body().path("tide").asText());
        awaitJobState(2, "cancelled");
    }

    @Test
    void invalidRequestsAreRejected() throws InterruptedException {
        assertEquals(
                400,
                user.sendWithRetries("POST", "/work", new byte[] {(byte) 0xc1}, 10_000)
                        .status());
        assertEquals(
                400,
                user.sendWithRetries("POST", "/work", MessageCodec.encode(MessageCodec.list()), 10_000)
                        .status());
        assertEquals(400, submit(job(3, JobSpec.Kind.ARRAY, 1).put("cores", Double.NaN)));
        assertEquals(422, submit(job(3, JobSpec.Kind.ARRAY, 1).put("crew", "nobody")));
        assertEquals(422, submit(job(3, JobSpec.Kind.ARRAY, 1).put("ram_gb", 1000)));
        assertEquals(
                422, submit(job(3, JobSpec.Kind.SERVICE, 25)), "all tasks together need more than the team's limit");
        assertEquals(
                404,
                user.sendWithRetries("GET", "/work/job-3", NO_BODY, 10_000).status(),
                "a rejected job must be unknown");
        assertEquals(
                404,
                user.sendWithRetries("POST", "/work/job-3/withdraw", NO_BODY, 10_000)
                        .status());
        assertEquals(
                404,
                user.sendWithRetries("GET", "/work/nonsense", NO_BODY, 10_000).status());
        assertEquals(
                404, user.sendWithRetries("GET", "/elsewhere", NO_BODY, 10_000).status());
        assertEquals(405, user.sendWithRetries("GET", "/work", NO_BODY, 10_000).status());
        assertEquals(
                405, user.sendWithRetries("POST", "/ready", NO_BODY, 10_000).status());
        assertEquals(
                413,
                user.sendWithRetries("POST", "/work", new byte[MessageCodec.MAX_BODY_BYTES + 1], 10_000)
                        .status());
        assertEquals(
                400,
                user.sendWithRetries("POST", "/v1/report", MessageCodec.encode(MessageCodec.map()), 10_000)
                        .status());
    }

    private static long revision() throws InterruptedException {
        return user.sendWithRetries("GET", "/admin/settings", NO_BODY, 10_000)
                .body()
                .path("revision")
                .asLong();
    }

    private static int changeSetting(long revision, String name, JsonNode value) throws InterruptedException {
        ObjectNode body = MessageCodec.map().put("revision", revision);
        body.putObject("change").set(name, value);
        return user.sendWithRetries("POST", "/admin/settings", MessageCodec.encode(body), 10_000)
                .status();
    }

    @Test
    void operatorSettingsChangeByCompareAndSwap() throws InterruptedException {
        long initialRevision = revision();
        assertEquals(400, changeSetting(initialRevision, "idle_boots", TextNode.valueOf("long")));
        assertEquals(400, changeSetting(initialRevision, "idle_boots", DoubleNode.valueOf(-1)));
        assertEquals(400, changeSetting(initialRevision, "no_such_thing", DoubleNode.valueOf(1)));
        assertEquals(initialRevision, revision(), "rejected changes must have no effect");
        assertEquals(200, changeSetting(initialRevision, "idle_boots", DoubleNode.valueOf(3)));
        assertEquals(409, changeSetting(initialRevision, "idle_boots", DoubleNode.valueOf(4)));
        assertEquals(initialRevision + 1, revision());
        byte[] reset = MessageCodec.encode(MessageCodec.map().put("revision", initialRevision + 1));
        assertEquals(
                200,
                user.sendWithRetries("POST", "/admin/settings/reset", reset, 10_000)
                        .status());
        for (String view : List.of("leader", "machines", "queue", "teams", "counters")) {
            assertEquals(
                    200,
                    user.sendWithRetries("GET", "/admin/" + view, NO_BODY, 10_000)
                            .status(),
                    view);
            assertEquals(
                    405,
                    user.sendWithRetries("POST", "/admin/" + view, NO_BODY, 10_000)
                            .status(),
                    view);
        }
        assertEquals(
                404,
                user.sendWithRetries("GET", "/admin/secrets", NO_BODY, 10_000).status());
    }

    @Test
    void commandLineSubmitsShowsAndCancelsJobs() {
        String node = "--node=127.0.0.1:" + (port + 2);
        assertEquals(
                0,
                Main.commandLine()
                        .execute(
                                "submit", node, "--id", "job-50", "--team", "red", "--kind", "service", "--tasks",
                                "1"));
        assertEquals(0, Main.commandLine().execute("status", node, "--json", "job-50"));
        assertEquals(0, Main.commandLine().execute("withdraw", node, "job-50"));
        assertEquals(3, Main.commandLine().execute("submit", node, "--id", "job-51", "--team", "nobody"));
        assertEquals(3, Main.commandLine().execute("status", node, "job-52"));
        assertEquals(0, Main.commandLine().execute("admin", "get", node));
        assertEquals(0, Main.commandLine().execute("admin", "show", node, "queue"));
        assertEquals(3, Main.commandLine().execute("admin", "set", node, "--revision", "999", "spare_share=0.5"));
        assertEquals(2, Main.commandLine().execute("submit", node, "--tasks", "many"));
        assertEquals(1, Main.commandLine().execute("status", "--node=127.0.0.1:1", "--patience=1", "job-52"));
    }

    @Test
    void invalidSettingsPreventStart() throws IOException {
        Path file = dir.resolve("bad.json");
        Files.writeString(
                file, Files.readString(dir.resolve("node-0.json")).replace("\"lease_s\": 5", "\"lease_s\": 0"));
        assertEquals(2, Main.commandLine().execute("serve", "--config", file.toString()));
        assertEquals(2, Main.commandLine().execute("check-config", file.toString()));
        assertEquals(2, Daemon.run(new String[] {"--config", file.toString()}));
        assertEquals(2, Daemon.run(new String[] {"--config"}), "the option's argument is missing");
        assertEquals(2, Daemon.run(new String[] {"--config", file.toString(), "more"}));
        assertEquals(
                2,
                Main.commandLine()
                        .execute("check-config", dir.resolve("none.json").toString()));
        assertEquals(
                0,
                Main.commandLine()
                        .execute("check-config", dir.resolve("node-0.json").toString()));
        assertTrue(
                Main.commandLine()
                                .execute(
                                        "serve",
                                        "--config",
                                        dir.resolve("node-0.json").toString())
                        == 1,
                "an address in use must make the start fail");
    }
}
