package stileferry.golden;

import stileferry.golden.RecordingEnvironment.SentRequest;
import stileferry.golden.SimulatedController.PendingResponse;

/**
 * One controller whose state service, cloud and workers answer with literal messages, as far as most tests need them
 * to; what a test adds replaces that.
 */
final class ScriptedCluster {
    static final GoldenMessages STORE = GoldenMessages.load("state.txt");
    static final GoldenMessages CLOUD = GoldenMessages.load("cloud.txt");
    static final GoldenMessages USERS = GoldenMessages.load("users.txt");
    static final GoldenMessages WORKERS = GoldenMessages.load("workers.txt");

    /** The worker that reports in most tests. */
    static final String WORKER_ADDRESS = "10.1.0.232:9000";

    /** Long enough for the controller to lead and to have read everything; short of its first report round's end. */
    private static final long STARTUP_MS = 1000;

    /** Longer than answers, and what is gathered before it is sent, take. */
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

    /** What the state service answers from now on: several answers in turn, the last one for good. */
    void storeResponds(String line, String... names) {
        environment.respondTo(line, messages(STORE, names));
    }

    /** What the cloud answers from now on. */
    void cloudResponds(String line, String... names) {
        environment.respondTo(line, messages(CLOUD, names));
    }

    /** What workers answer from now on. */
    void workersRespond(String line, String... names) {
        environment.respondTo(line, messages(WORKERS, names));
    }

    /** Starts the only controller, which then leads. */
    ScriptedCluster startLeader() {
        return start(SimulatedController.single(environment));
    }

    /** Starts the only controller with the watching of links turned on. */
    ScriptedCluster startLeaderWithPartialCuts() {
        return start(SimulatedController.singleWithPartialCuts(environment));
    }

    /** Starts the only controller with fair admission turned on. */
    ScriptedCluster startLeaderWithFairAdmission() {
        storeResponds("GET /kv?starts=n/&most=500", "no rows");
        return start(SimulatedController.singleWithFairAdmission(environment));
    }

    /** Starts one of two controllers, which follows the other. */
    ScriptedCluster startFollower() {
        storeResponds("GET /kv?starts=a/&most=500", "leader prefix, another leads");
        return start(SimulatedController.withPeer(environment));
    }

    private ScriptedCluster start(SimulatedController started) {
        controller = started;
        controller.start(STARTUP_MS);
        return this;
    }

    /** Sends a literal heartbeat and returns the answer, which a controller may give a little later. */
    PendingResponse heartbeat(String name) {
        PendingResponse heard = controller.heartbeat(WORKERS.body(name));
        environment.advance(RESPONSE_MS);
        return heard;
    }

    /** Sends a heartbeat and returns the answer. */
    PendingResponse heartbeat(byte[] body) {
        return controller.heartbeat(body);
    }

    /** Sends a literal submission and returns the answer. */
    PendingResponse submit(String name) {
        return submit(USERS.body(name));
    }

    /** Sends a submission and returns the answer. */
    PendingResponse submit(byte[] body) {
        PendingResponse heard = controller.submit(body);
        environment.advance(RESPONSE_MS);
        return heard;
    }

    /** Sends a submission that is not waited for. */
    PendingResponse submitWithoutWaiting(byte[] body) {
        return controller.submit(body);
    }

    /** Asks for the job of the literal submissions. */
    PendingResponse status() {
        PendingResponse heard = controller.status("job-000412");
        environment.advance(RESPONSE_MS);
        return heard;
    }

    /** The JSON form of what the controller tells operators in one of its views. */
    String view(String name) {
        return GoldenMessages.toJson(controller.view(name).body());
    }

    /** Withdraws the job of the literal submissions. */
    PendingResponse cancel() {
        PendingResponse heard = controller.cancel("job-000412");
        environment.advance(RESPONSE_MS);
        return heard;
    }

    /** Leads, with one worker that is to run both tasks of a job and has not been heard since. */
    ScriptedCluster startLeaderWithAssignedTasks(String submission) {
        startLeader();
        heartbeat("heartbeat");
        submit(submission);
        environment.advance(RESPONSE_MS);
        return this;
    }

    /** Leads, with one worker that runs both tasks of a job. */
    ScriptedCluster startLeaderWithRunningTasks() {
        workersRespond("POST /commands", "answer to direct run");
        startLeaderWithAssignedTasks("submission");
        heartbeat("heartbeat, running");
        return this;
    }

    /** The request of this line that was sent last. */
    SentRequest lastRequest(String line) {
        var all = environment.sentRequests(line);
        if (all.isEmpty()) {
            throw new AssertionError("not sent: " + line);
        }
        return all.get(all.size() - 1);
    }

    /** Checks a request of the controller: its address, first line, JSON form and exact bytes. */
    static void assertRequest(GoldenMessages golden, String name, String address, SentRequest sent) {
        if (!sent.address().equals(address)) {
            throw new AssertionError(name + " went to " + sent.address());
        }
        golden.assertMatches(name, sent.line(), sent.body());
    }

    /** Checks an answer of the controller to a worker. */
    static void assertWorkerResponse(String name, PendingResponse heard) {
        WORKERS.assertMatches(name, heard.firstLine(), heard.body());
    }

    /** Checks an answer of the controller to a user. */
    static void assertUserResponse(String name, PendingResponse heard) {
        USERS.assertMatches(name, heard.firstLine(), heard.body());
    }
}
