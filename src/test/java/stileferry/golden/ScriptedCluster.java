package stileferry.golden;

import stileferry.golden.RecordingEnvironment.SentRequest;
import stileferry.golden.SimulatedController.PendingResponse;

/**
 * One controller whose key-value store, cloud and workers respond with literal messages. The constructor scripts the
 * responses that most tests need; a test may replace them or add others.
 */
final class ScriptedCluster {
    static final GoldenMessages STORE = GoldenMessages.load("state.txt");
    static final GoldenMessages CLOUD = GoldenMessages.load("cloud.txt");
    static final GoldenMessages USERS = GoldenMessages.load("users.txt");
    static final GoldenMessages WORKERS = GoldenMessages.load("workers.txt");

    /** The address of the agent that sends heartbeats in most tests. */
    static final String WORKER_ADDRESS = "10.1.0.232:9000";

    /** Time in which the controller is elected and reads the store; ends before the first heartbeat interval does. */
    private static final long STARTUP_MS = 1000;

    /** Time in which a response arrives, including the time for which changes are batched before they are sent. */
    private static final long RESPONSE_MS = 200;

    final RecordingEnvironment environment = new RecordingEnvironment();
    private SimulatedController controller;

    ScriptedCluster() {
        storeResponds("GET /kv?starts=a/&most=500", "leader prefix, nobody leads");
        storeResponds("POST /leases", "lease granted");
        storeResponds("POST /leases/7/touch", "lease renewed");
        storeResponds("DELETE /leases/7", "lease ended");
        storeResponds("POST /commit", "committed");
        storeResponds("GET /kv?starts=j/&most=500", "no rows");
        storeResponds("GET /kv?starts=l/&most=500", "no rows");
        storeResponds("GET /kv?starts=c/&most=500", "no rows");
        storeResponds("GET /kv/a/options", "key absent");
        storeResponds("GET /kv/e/job-000412", "key absent");
        cloudResponds("GET /machine_types", "machine types");
        cloudResponds("GET /hosts?most=500", "list, empty");
    }

    private static GoldenMessages.Message[] messages(GoldenMessages golden, String... names) {
        GoldenMessages.Message[] messages = new GoldenMessages.Message[names.length];
        for (int i = 0; i < names.length; i++) {
            messages[i] = golden.get(names[i]);
        }
        return messages;
    }

    /** Sets the key-value store's further responses, returned in order; the last one is repeated. */
    void storeResponds(String line, String... names) {
        environment.respondTo(line, messages(STORE, names));
    }

    /** Sets the cloud's further responses, returned in order; the last one is repeated. */
    void cloudResponds(String line, String... names) {
        environment.respondTo(line, messages(CLOUD, names));
    }

    /** Sets the workers' further responses, returned in order; the last one is repeated. */
    void workersRespond(String line, String... names) {
        environment.respondTo(line, messages(WORKERS, names));
    }

    /** Starts the controller as the only one, so that it becomes the leader. */
    ScriptedCluster startLeader() {
        return start(SimulatedController.single(environment));
    }

    /** Starts the controller as the only one, with the feature {@code partial_cuts} on. */
    ScriptedCluster startLeaderWithPartialCuts() {
        return start(SimulatedController.singleWithPartialCuts(environment));
    }

    /** Starts the controller as the only one, with the feature {@code fair_admission} on. */
    ScriptedCluster startLeaderWithFairAdmission() {
        storeResponds("GET /kv?starts=n/&most=500", "no rows");
        return start(SimulatedController.singleWithFairAdmission(environment));
    }

    /** Starts the controller as one of two, so that it follows the other one. */
    ScriptedCluster startFollower() {
        storeResponds("GET /kv?starts=a/&most=500", "leader prefix, another leads");
        return start(SimulatedController.withPeer(environment));
    }

    private ScriptedCluster start(SimulatedController started) {
        controller = started;
        controller.start(STARTUP_MS);
        return this;
    }

    /** Sends a literal heartbeat and lets time pass for the response, which need not be immediate. */
    PendingResponse heartbeat(String name) {
        PendingResponse response = controller.heartbeat(WORKERS.body(name));
        environment.advance(RESPONSE_MS);
        return response;
    }

    /** Sends a heartbeat without letting time pass. */
    PendingResponse heartbeat(byte[] body) {
        return controller.heartbeat(body);
    }

    /** Submits a literal job and lets time pass for the response. */
    PendingResponse submit(String name) {
        return submit(USERS.body(name));
    }

    /** Submits a job and lets time pass for the response. */
    PendingResponse submit(byte[] body) {
        PendingResponse response = controller.submit(body);
        environment.advance(RESPONSE_MS);
        return response;
    }

    /** Submits a job without letting time pass. */
    PendingResponse submitWithoutWaiting(byte[] body) {
        return controller.submit(body);
    }

    /** Requests the status of the job that the literal submissions describe. */
    PendingResponse status() {
        PendingResponse response = controller.status("job-000412");
        environment.advance(RESPONSE_MS);
        return response;
    }

    /** Returns one of the controller's administration views as JSON. */
    String view(String name) {
        return GoldenMessages.toJson(controller.view(name).body());
    }

    /** Cancels the job that the literal submissions describe. */
    PendingResponse cancel() {
        PendingResponse response = controller.cancel("job-000412");
        environment.advance(RESPONSE_MS);
        return response;
    }

    /** Starts a leader that has assigned both tasks of a job to a worker and has had no heartbeat from it since. */
    ScriptedCluster startLeaderWithAssignedTasks(String submission) {
        startLeader();
        heartbeat("heartbeat");
        submit(submission);
        environment.advance(RESPONSE_MS);
        return this;
    }

    /** Starts a leader with one worker that runs both tasks of a job. */
    ScriptedCluster startLeaderWithRunningTasks() {
        workersRespond("POST /commands", "answer to direct run");
        startLeaderWithAssignedTasks("submission");
        heartbeat("heartbeat, running");
        return this;
    }

    /** Returns the last request with this method and path; fails the test if there was none. */
    SentRequest lastRequest(String line) {
        var requests = environment.sentRequests(line);
        if (requests.isEmpty()) {
            throw new AssertionError("request not sent: " + line);
        }
        return requests.get(requests.size() - 1);
    }

    /** Asserts that a request of the controller equals a literal one: address, first line, JSON form and bytes. */
    static void assertRequest(GoldenMessages golden, String name, String address, SentRequest sent) {
        if (!sent.address().equals(address)) {
            throw new AssertionError(name + " was sent to " + sent.address());
        }
        golden.assertMatches(name, sent.line(), sent.body());
    }

    /** Asserts that a response of the controller to a worker equals a literal one. */
    static void assertWorkerResponse(String name, PendingResponse response) {
        WORKERS.assertMatches(name, response.firstLine(), response.body());
    }

    /** Asserts that a response of the controller to a user equals a literal one. */
    static void assertUserResponse(String name, PendingResponse response) {
        USERS.assertMatches(name, response.firstLine(), response.body());
    }
}
