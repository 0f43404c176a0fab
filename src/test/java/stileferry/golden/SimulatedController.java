package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.function.Consumer;
import stileferry.coordination.Coordinator;
import stileferry.protocol.Features;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.SettingsReader;

/** A controller in a {@link RecordingEnvironment} that takes and returns the literal bytes of messages. */
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

    /**
     * A response of the controller that may arrive later. Its first line is the HTTP status and, in responses to users,
     * the headers.
     */
    static final class PendingResponse {
        private String firstLine;
        private byte[] body;

        private void completeWithHeaders(PeerMessage.Response response) {
            int retryAfterS = response.retryAfterS();
            firstLine = response.status() + " application/msgpack"
                    + (retryAfterS > 0 ? " Retry-After: " + retryAfterS : "");
            body = response.body();
        }

        private void complete(int status, byte[] bytes) {
            firstLine = String.valueOf(status);
            body = bytes;
        }

        boolean isComplete() {
            return firstLine != null;
        }

        String firstLine() {
            assertNotNull(firstLine, "no response yet");
            return firstLine;
        }

        byte[] body() {
            assertNotNull(body, "no response yet");
            return body;
        }
    }

    private SimulatedController(RecordingEnvironment environment, String seeds, String features) {
        this.environment = environment;
        SettingsReader.Result parsed = SettingsReader.read(SETTINGS.formatted(seeds));
        assertNotNull(parsed.settings(), parsed.problems().toString());
        coordinator = new Coordinator(parsed.settings(), Features.read(features).features(), environment);
        environment.afterTask(coordinator::endOfBatch);
    }

    /** Returns a controller without peers. */
    static SimulatedController single(RecordingEnvironment environment) {
        return new SimulatedController(environment, "", "{}");
    }

    /** Returns a controller without peers, with the feature {@code partial_cuts} on. */
    static SimulatedController singleWithPartialCuts(RecordingEnvironment environment) {
        return new SimulatedController(environment, "", "{\"partial_cuts\":true}");
    }

    /** Returns a controller without peers, with the feature {@code fair_admission} on. */
    static SimulatedController singleWithFairAdmission(RecordingEnvironment environment) {
        return new SimulatedController(environment, "", "{\"fair_admission\":true}");
    }

    /** Returns a controller with one peer, {@code iskele-2}. */
    static SimulatedController withPeer(RecordingEnvironment environment) {
        return new SimulatedController(environment, PEER, "{}");
    }

    /** Starts the controller and advances the clock by some milliseconds. */
    void start(long ms) {
        environment.runTask(coordinator::start);
        environment.advance(ms);
    }

    /** Delivers a worker's heartbeat. */
    PendingResponse heartbeat(byte[] body) {
        PendingResponse pending = new PendingResponse();
        environment.runTask(() -> coordinator.handleHeartbeat(body, pending::complete));
        return pending;
    }

    /** Delivers a user's submission. */
    PendingResponse submit(byte[] body) {
        return userRequest(PeerMessage.RequestKind.SUBMIT, "", body);
    }

    /** Delivers a user's request for the status of a job. */
    PendingResponse status(String id) {
        return userRequest(PeerMessage.RequestKind.STATUS, id, new byte[0]);
    }

    /** Delivers a user's request to cancel a job. */
    PendingResponse cancel(String id) {
        return userRequest(PeerMessage.RequestKind.CANCEL, id, new byte[0]);
    }

    /** Delivers an operator's request for an administration view. */
    PendingResponse view(String name) {
        PendingResponse pending = new PendingResponse();
        environment.runTask(
                () -> coordinator.handleAdministrationRequest("GET", name, new byte[0], pending::completeWithHeaders));
        return pending;
    }

    private PendingResponse userRequest(PeerMessage.RequestKind kind, String id, byte[] body) {
        PendingResponse pending = new PendingResponse();
        Consumer<PeerMessage.Response> reply = response -> pending.completeWithHeaders(response);
        environment.runTask(() -> coordinator.handleUserRequest(kind, id, body, reply));
        return pending;
    }
}
