package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;
import static stileferry.golden.ScriptedCluster.CLOUD;
import static stileferry.golden.ScriptedCluster.STORE;
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

/**
 * Pins the HTTP messages of a real controller on the loopback interface. The clients and servers that it talks to are
 * not part of the code under test.
 */
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

    private static final String LEADER_SCAN = "GET /kv?starts=a/&most=500";
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private static StubStoreAndCloud storeAndCloud;
    private static Controller controller;
    private static int port;

    /** Responses before the controller was elected. */
    private static Response readinessWithoutLeader;

    private static Response submissionWithoutLeader;

    /** A response with its body; the status line holds the status, the content type and {@code Retry-After}. */
    private record Response(String statusLine, byte[] body) {}

    @BeforeAll
    static void start() throws Exception {
        storeAndCloud = new StubStoreAndCloud();
        storeAndCloud.respondTo(LEADER_SCAN, STORE.get("unavailable"));
        storeAndCloud.respondTo("POST /leases", STORE.get("lease granted"));
        storeAndCloud.respondTo("POST /leases/7/touch", STORE.get("lease renewed"));
        storeAndCloud.respondTo("POST /commit", STORE.get("committed"));
        storeAndCloud.respondTo("GET /kv?starts=j/&most=500", STORE.get("no rows"));
        storeAndCloud.respondTo("GET /kv?starts=l/&most=500", STORE.get("no rows"));
        storeAndCloud.respondTo("GET /kv?starts=c/&most=500", STORE.get("no rows"));
        storeAndCloud.respondTo("GET /kv/a/options", STORE.get("key absent"));
        storeAndCloud.respondTo("GET /machine_types", CLOUD.get("machine types"));
        storeAndCloud.respondTo("GET /hosts?most=500", CLOUD.get("list, empty"));
        port = freePort();
        String settings = SETTINGS.formatted(port, freePort(), storeAndCloud.address(), storeAndCloud.address());
        controller = Controller.builder()
                .settings(SettingsReader.read(settings).settings())
                .build();
        controller.start();
        readinessWithoutLeader = sendRequest("GET /ready", new byte[0]);
        submissionWithoutLeader = sendRequest("POST /work", USERS.body("submission"));
        storeAndCloud.respondTo(LEADER_SCAN, STORE.get("leader prefix, nobody leads"));
        awaitReady();
    }

    @AfterAll
    static void stop() {
        controller.close();
        storeAndCloud.close();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static void awaitReady() throws Exception {
        for (int i = 0; i < 200; i++) {
            if (sendRequest("GET /ready", new byte[0]).statusLine.startsWith("200")) {
                return;
            }
            Thread.sleep(50);
        }
        fail("the controller did not become ready");
    }

    private static Response sendRequest(String line, byte[] body) throws IOException, InterruptedException {
        String[] methodAndPath = line.split(" ");
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + methodAndPath[1]))
                .method(methodAndPath[0], HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        HttpResponse<byte[]> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
        String contentType = response.headers()
                .firstValue("Content-Type")
                .map(value -> " " + value)
                .orElse("");
        String retryAfter = response.headers()
                .firstValue("Retry-After")
                .map(value -> " Retry-After: " + value)
                .orElse("");
        return new Response(response.statusCode() + contentType + retryAfter, response.body());
    }

    private static void assertResponse(String name, Response response) {
        USERS.assertMatches(name, response.statusLine, response.body);
    }

    private static Response sendGolden(GoldenMessages golden, String name) throws Exception {
        return sendRequest(golden.get(name).firstLine(), golden.body(name));
    }

    @Test
    void withoutALeaderTheControllerIsNotReadyAndSendsRetryAfter() {
        assertResponse("not ready", readinessWithoutLeader);
        assertResponse("no leader", submissionWithoutLeader);
    }

    @Test
    void leadingControllerIsReady() throws Exception {
        assertResponse("ready", sendGolden(USERS, "readiness probe"));
    }

    @Test
    void submittedJobIsAcceptedThenPendingThenCancelled() throws Exception {
        assertResponse("unknown job", sendGolden(USERS, "status"));
        assertResponse("unknown job", sendGolden(USERS, "withdrawal"));
        assertResponse("accepted", sendGolden(USERS, "submission"));
        assertResponse("pending", sendGolden(USERS, "submission"));
        assertResponse("pending", sendGolden(USERS, "status"));
        assertResponse("cancelled", sendGolden(USERS, "withdrawal"));
        assertResponse("cancelled", sendGolden(USERS, "status"));
        assertResponse("cancelled", sendGolden(USERS, "submission"));
    }

    @Test
    void rejectedRequestsGetTheExpectedErrors() throws Exception {
        assertResponse("not MessagePack or no valid id", sendRequest("POST /work", new byte[] {(byte) 0xc1}));
        assertResponse("unknown team", sendGolden(USERS, "submission of an unknown team with another id"));
        assertResponse("unknown job", sendRequest("GET /work/nonsense", new byte[0]));
        assertResponse("unknown path", sendRequest("GET /elsewhere", new byte[0]));
        assertResponse("only POST", sendRequest("GET /work", new byte[0]));
        assertResponse("only POST", sendRequest("GET /work/job-000412/withdraw", new byte[0]));
        assertResponse("only POST", sendRequest("GET /v1/report", new byte[0]));
        assertResponse("only GET", sendRequest("POST /work/job-000412", new byte[0]));
        assertResponse("only GET", sendRequest("POST /ready", new byte[0]));
        assertResponse("body too large", sendRequest("POST /work", new byte[MAX_BODY_BYTES + 1]));
    }

    @Test
    void heartbeatIsAnsweredWithTheFencingToken() throws Exception {
        Response response = sendGolden(WORKERS, "heartbeat");
        WORKERS.assertMatches(
                "token without commands", response.statusLine.replace(" application/msgpack", ""), response.body);
        assertEquals("200 application/msgpack", response.statusLine);
        assertEquals("400 application/msgpack", sendRequest("POST /v1/report", new byte[] {5}).statusLine);
    }

    @Test
    void requestsToStoreAndCloudMatchTheGoldenMessages() {
        assertReceived(STORE, "leader prefix read");
        assertReceived(STORE, "lease request");
        assertReceived(STORE, "election");
        assertReceived(STORE, "jobs read");
        assertReceived(STORE, "options read");
        assertReceived(CLOUD, "machine types read");
    }

    private static void assertReceived(GoldenMessages golden, String name) {
        StubStoreAndCloud.ReceivedRequest request =
                storeAndCloud.firstRequest(golden.get(name).firstLine());
        golden.assertMatches(name, request.line(), request.body());
        assertEquals(request.body().length == 0 ? null : "application/msgpack", request.contentType(), name);
    }
}
