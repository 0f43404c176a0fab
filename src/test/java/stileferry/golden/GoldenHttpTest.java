package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;
import static stileferry.golden.ScriptedCluster.CLOUD;
import static stileferry.golden.ScriptedCluster.STATE;
import static stileferry.golden.ScriptedCluster.USERS;
import static stileferry.golden.ScriptedCluster.WORKERS;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import stileferry.Controller;
import stileferry.protocol.SettingsReader;

/** A real controller on loopback, asked and answered over HTTP by clients and servers that are none of its code. */
class GoldenHttpTest {
    private static final String SETTINGS =
            """
            {"host_name":"iskele-0","zone":"a","client_listen":"127.0.0.1:%d","peer_bind":"127.0.0.1:%d",
            "seeds":[],"outside":{"cloud":"%s","state":"%s"},
            "cluster":{"zones":["a","b"],"teams":[{"name":"vision","cpus":16.0,"cpus_max":64.0}],"objectives":[],
            "workers":{"report_s":2.0,"lease_s":10.0,"cancel_s":20.0},
            "state":{"rps":150.0,"write_rps":50.0,"value_kb":8.0,"txn_ops":12},
            "cloud":{"rps":5.0,"list_lag_s":3.0},
            "machine_limits":{"cores":1.0,"max_sockets":1000},"clock_off_ms":20.0}}
            """;

    private static final String LEADER_PREFIX = "GET /kv?starts=a/&most=500";
    private static final int LARGEST_BODY = 64 * 1024;

    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private static LoopbackOutside outside;
    private static Controller controller;
    private static int port;

    /** What was answered before anybody could lead. */
    private static Answer readinessBefore;

    private static Answer submissionBefore;

    /** An answer, with its status and the headers that matter as its line. */
    private record Answer(String line, byte[] body) {}

    @BeforeAll
    static void start() throws Exception {
        outside = new LoopbackOutside();
        outside.answer(LEADER_PREFIX, STATE.get("unavailable"));
        outside.answer("POST /leases", STATE.get("lease granted"));
        outside.answer("POST /leases/7/touch", STATE.get("lease renewed"));
        outside.answer("POST /commit", STATE.get("committed"));
        outside.answer("GET /kv?starts=j/&most=500", STATE.get("no rows"));
        outside.answer("GET /kv?starts=l/&most=500", STATE.get("no rows"));
        outside.answer("GET /kv?starts=c/&most=500", STATE.get("no rows"));
        outside.answer("GET /kv/a/options", STATE.get("key absent"));
        outside.answer("GET /machine_types", CLOUD.get("machine types"));
        outside.answer("GET /hosts?most=500", CLOUD.get("list, empty"));
        port = freePort();
        String settings = SETTINGS.formatted(port, freePort(), outside.address(), outside.address());
        controller = Controller.builder()
                .settings(SettingsReader.read(settings).settings())
                .build();
        controller.start();
        readinessBefore = ask("GET /ready", new byte[0]);
        submissionBefore = ask("POST /work", USERS.body("submission"));
        outside.answer(LEADER_PREFIX, STATE.get("leader prefix, nobody leads"));
        awaitReady();
    }

    @AfterAll
    static void stop() {
        controller.close();
        outside.close();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static void awaitReady() throws Exception {
        for (int i = 0; i < 200; i++) {
            if (ask("GET /ready", new byte[0]).line.startsWith("200")) {
                return;
            }
            Thread.sleep(50);
        }
        fail("never ready");
    }

    private static Answer ask(String line, byte[] body) throws IOException, InterruptedException {
        String[] parts = line.split(" ");
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + parts[1]))
                .method(parts[0], HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        HttpResponse<byte[]> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
        String type = response.headers()
                .firstValue("Content-Type")
                .map(value -> " " + value)
                .orElse("");
        String later = response.headers()
                .firstValue("Retry-After")
                .map(value -> " Retry-After: " + value)
                .orElse("");
        return new Answer(response.statusCode() + type + later, response.body());
    }

    private static void assertAnswer(String name, Answer answer) {
        USERS.assertSent(name, answer.line, answer.body);
    }

    private static Answer send(GoldenMessages golden, String name) throws Exception {
        return ask(golden.get(name).line(), golden.body(name));
    }

    @Test
    void aControllerWithoutALeaderIsNotReadyAndTellsUsersWhenToRetry() {
        assertAnswer("not ready", readinessBefore);
        assertAnswer("no leader", submissionBefore);
    }

    @Test
    void aControllerThatLeadsIsReady() throws Exception {
        assertAnswer("ready", send(USERS, "readiness probe"));
    }

    @Test
    void aSubmissionIsAcceptedThenKnownThenWithdrawn() throws Exception {
        assertAnswer("unknown job", send(USERS, "status"));
        assertAnswer("unknown job", send(USERS, "withdrawal"));
        assertAnswer("accepted", send(USERS, "submission"));
        assertAnswer("pending", send(USERS, "submission"));
        assertAnswer("pending", send(USERS, "status"));
        assertAnswer("cancelled", send(USERS, "withdrawal"));
        assertAnswer("cancelled", send(USERS, "status"));
        assertAnswer("cancelled", send(USERS, "submission"));
    }

    @Test
    void refusalsCarryTheirReasons() throws Exception {
        assertAnswer("not MessagePack or no valid id", ask("POST /work", new byte[] {(byte) 0xc1}));
        assertAnswer("unknown team", send(USERS, "submission of an unknown team with another id"));
        assertAnswer("unknown job", ask("GET /work/nonsense", new byte[0]));
        assertAnswer("unknown path", ask("GET /elsewhere", new byte[0]));
        assertAnswer("only POST", ask("GET /work", new byte[0]));
        assertAnswer("only POST", ask("GET /work/job-000412/withdraw", new byte[0]));
        assertAnswer("only POST", ask("GET /v1/report", new byte[0]));
        assertAnswer("only GET", ask("POST /work/job-000412", new byte[0]));
        assertAnswer("only GET", ask("POST /ready", new byte[0]));
        assertAnswer("body too large", ask("POST /work", new byte[LARGEST_BODY + 1]));
    }

    @Test
    void aHeartbeatIsAnsweredWithTheFencingToken() throws Exception {
        Answer answer = send(WORKERS, "heartbeat");
        WORKERS.assertSent("token without commands", answer.line.replace(" application/msgpack", ""), answer.body);
        assertEquals("200 application/msgpack", answer.line);
        assertEquals("400 application/msgpack", ask("POST /v1/report", new byte[] {5}).line);
    }

    @Test
    void requestsArriveOutsideAsLiterallyExpected() {
        assertReceived(STATE, "leader prefix read");
        assertReceived(STATE, "lease request");
        assertReceived(STATE, "election");
        assertReceived(STATE, "jobs read");
        assertReceived(STATE, "options read");
        assertReceived(CLOUD, "machine types read");
    }

    private static void assertReceived(GoldenMessages golden, String name) {
        LoopbackOutside.Received request = outside.first(golden.get(name).line());
        golden.assertSent(name, request.line(), request.body());
        assertEquals(request.body().length == 0 ? null : "application/msgpack", request.contentType(), name);
    }
}
