package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.function.Consumer;
import stileferry.coordination.Coordinator;
import stileferry.protocol.Features;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.SettingsReader;

/** One controller in a {@link RecordingEnvironment}, asked from its outer edges with literal bytes. */
final class SimulatedController {
    static final String STORE_ADDRESS = "10.2.0.1:2379";
    static final String CLOUD_ADDRESS = "10.2.0.2:8443";

    private static final String SETTINGS =
            """
            {"host_name":"iskele-0","zone":"a","client_listen":"10.0.0.1:8080","peer_bind":"10.0.0.1:8081",
            "seeds":[%s],"outside":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
            "cluster":{"zones":["a","b"],"teams":[{"name":"vision","cpus":16.0,"cpus_max":64.0}],"objectives":[],
            "workers":{"report_s":2.0,"lease_s":10.0,"cancel_s":20.0,"gang_wait_s":8.0,"gang_peer_s":3.0},
            "state":{"rps":150.0,"write_rps":50.0,"value_kb":8.0,"txn_ops":12},
            "cloud":{"rps":5.0,"list_lag_s":3.0},
            "machine_limits":{"cores":1.0,"max_sockets":1000},"clock_off_ms":20.0}}
            """;

    private static final String PEER = "{\"host_name\":\"iskele-2\",\"zone\":\"b\",\"peer_addr\":\"10.0.0.3:8081\"}";

    private final RecordingEnvironment environment;
    private final Coordinator coordinator;

    /** An answer of the controller, with its status and, to users, the headers that go with it as its line. */
    static final class PendingResponse {
        private String firstLine;
        private byte[] body;

        private void completeWithHeaders(PeerMessage.Response answer) {
            int retryAfterS = answer.retryAfterS();
            firstLine =
                    answer.status() + " application/msgpack" + (retryAfterS > 0 ? " Retry-After: " + retryAfterS : "");
            body = answer.body();
        }

        private void complete(int status, byte[] bytes) {
            firstLine = String.valueOf(status);
            body = bytes;
        }

        boolean isComplete() {
            return firstLine != null;
        }

        String firstLine() {
            assertNotNull(firstLine, "not answered yet");
            return firstLine;
        }

        byte[] body() {
            assertNotNull(body, "not answered yet");
            return body;
        }
    }

    private SimulatedController(RecordingEnvironment environment, String seeds, String features) {
        this.environment = environment;
        SettingsReader.Result read = SettingsReader.read(SETTINGS.formatted(seeds));
        assertNotNull(read.settings(), read.problems().toString());
        coordinator = new Coordinator(read.settings(), Features.read(features).features(), environment);
        environment.afterTask(coordinator::endOfBatch);
    }

    /** The only controller there is. */
    static SimulatedController single(RecordingEnvironment environment) {
        return new SimulatedController(environment, "", "{}");
    }

    /** The only controller there is, with the watching of links turned on. */
    static SimulatedController singleWithPartialCuts(RecordingEnvironment environment) {
        return new SimulatedController(environment, "", "{\"partial_cuts\":true}");
    }

    /** The only controller there is, with fair admission turned on. */
    static SimulatedController singleWithFairAdmission(RecordingEnvironment environment) {
        return new SimulatedController(environment, "", "{\"fair_admission\":true}");
    }

    /** One of two controllers, the other of which is {@code iskele-2}. */
    static SimulatedController withPeer(RecordingEnvironment environment) {
        return new SimulatedController(environment, PEER, "{}");
    }

    /** Starts it and lets it settle for so long. */
    void start(long ms) {
        environment.runTask(coordinator::start);
        environment.advance(ms);
    }

    /** A worker's report. */
    PendingResponse heartbeat(byte[] body) {
        PendingResponse heard = new PendingResponse();
        environment.runTask(() -> coordinator.handleHeartbeat(body, heard::complete));
        return heard;
    }

    /** A user's submission. */
    PendingResponse submit(byte[] body) {
        return userRequest(PeerMessage.RequestKind.SUBMIT, "", body);
    }

    /** A user's question about a job. */
    PendingResponse status(String id) {
        return userRequest(PeerMessage.RequestKind.STATUS, id, new byte[0]);
    }

    /** A user's withdrawal of a job. */
    PendingResponse cancel(String id) {
        return userRequest(PeerMessage.RequestKind.CANCEL, id, new byte[0]);
    }

    /** What the controller tells operators in one of its views. */
    PendingResponse view(String name) {
        PendingResponse heard = new PendingResponse();
        environment.runTask(
                () -> coordinator.handleAdministrationRequest("GET", name, new byte[0], heard::completeWithHeaders));
        return heard;
    }

    private PendingResponse userRequest(PeerMessage.RequestKind ask, String id, byte[] body) {
        PendingResponse heard = new PendingResponse();
        Consumer<PeerMessage.Response> reply = answer -> heard.completeWithHeaders(answer);
        environment.runTask(() -> coordinator.handleUserRequest(ask, id, body, reply));
        return heard;
    }
}
