package stileferry.golden;

import stileferry.golden.RecordingEnvironment.Sent;
import stileferry.golden.SimulatedController.Heard;

/**
 * One controller whose state service, cloud and workers answer with literal messages, as far as most tests need them
 * to; what a test adds replaces that.
 */
final class ScriptedCluster {
    static final GoldenMessages STATE = GoldenMessages.of("state.txt");
    static final GoldenMessages CLOUD = GoldenMessages.of("cloud.txt");
    static final GoldenMessages USERS = GoldenMessages.of("users.txt");
    static final GoldenMessages WORKERS = GoldenMessages.of("workers.txt");

    /** The worker that reports in most tests. */
    static final String WORKER = "10.1.0.232:9000";

    /** Long enough for the controller to lead and to have read everything; short of its first report round's end. */
    private static final long SETTLE_MS = 1000;

    /** Longer than answers, and what is gathered before it is sent, take. */
    private static final long SHORTLY_MS = 200;

    final RecordingEnvironment environment = new RecordingEnvironment();
    private SimulatedController controller;

    ScriptedCluster() {
        stateAnswers("GET /kv?starts=a/&most=500", "leader prefix, nobody leads");
        stateAnswers("POST /leases", "lease granted");
        stateAnswers("POST /leases/7/touch", "lease renewed");
        stateAnswers("DELETE /leases/7", "lease ended");
        stateAnswers("POST /commit", "committed");
        stateAnswers("GET /kv?starts=j/&most=500", "no rows");
        stateAnswers("GET /kv?starts=l/&most=500", "no rows");
        stateAnswers("GET /kv?starts=c/&most=500", "no rows");
        stateAnswers("GET /kv/a/options", "key absent");
        stateAnswers("GET /kv/e/job-000412", "key absent");
        cloudAnswers("GET /machine_types", "machine types");
        cloudAnswers("GET /hosts?most=500", "list, empty");
    }

    private static GoldenMessages.Message[] messages(GoldenMessages golden, String... names) {
        GoldenMessages.Message[] messages = new GoldenMessages.Message[names.length];
        for (int i = 0; i < names.length; i++) {
            messages[i] = golden.get(names[i]);
        }
        return messages;
    }

    /** What the state service answers from now on: several answers in turn, the last one for good. */
    void stateAnswers(String line, String... names) {
        environment.answer(line, messages(STATE, names));
    }

    /** What the cloud answers from now on. */
    void cloudAnswers(String line, String... names) {
        environment.answer(line, messages(CLOUD, names));
    }

    /** What workers answer from now on. */
    void workersAnswer(String line, String... names) {
        environment.answer(line, messages(WORKERS, names));
    }

    /** Starts the only controller, which then leads. */
    ScriptedCluster lead() {
        return start(SimulatedController.alone(environment));
    }

    /** Starts the only controller with the watching of links turned on. */
    ScriptedCluster leadWatchingLinks() {
        return start(SimulatedController.aloneWatchingLinks(environment));
    }

    /** Starts the only controller with fair admission turned on. */
    ScriptedCluster leadAdmittingFairly() {
        stateAnswers("GET /kv?starts=n/&most=500", "no rows");
        return start(SimulatedController.aloneAdmittingFairly(environment));
    }

    /** Starts one of two controllers, which follows the other. */
    ScriptedCluster follow() {
        stateAnswers("GET /kv?starts=a/&most=500", "leader prefix, another leads");
        return start(SimulatedController.besideAnother(environment));
    }

    private ScriptedCluster start(SimulatedController started) {
        controller = started;
        controller.start(SETTLE_MS);
        return this;
    }

    /** Sends a literal heartbeat and returns the answer, which a controller may give a little later. */
    Heard heartbeat(String name) {
        Heard heard = controller.report(WORKERS.body(name));
        environment.play(SHORTLY_MS);
        return heard;
    }

    /** Sends a heartbeat and returns the answer. */
    Heard report(byte[] body) {
        return controller.report(body);
    }

    /** Sends a literal submission and returns the answer. */
    Heard submit(String name) {
        return submit(USERS.body(name));
    }

    /** Sends a submission and returns the answer. */
    Heard submit(byte[] body) {
        Heard heard = controller.submit(body);
        environment.play(SHORTLY_MS);
        return heard;
    }

    /** Sends a submission that is not waited for. */
    Heard submitAtOnce(byte[] body) {
        return controller.submit(body);
    }

    /** Asks for the job of the literal submissions. */
    Heard status() {
        Heard heard = controller.status("job-000412");
        environment.play(SHORTLY_MS);
        return heard;
    }

    /** The JSON form of what the controller tells operators in one of its views. */
    String view(String name) {
        return GoldenMessages.json(controller.view(name).body());
    }

    /** Withdraws the job of the literal submissions. */
    Heard withdraw() {
        Heard heard = controller.withdraw("job-000412");
        environment.play(SHORTLY_MS);
        return heard;
    }

    /** Leads, with one worker that is to run both tasks of a job and has not been heard since. */
    ScriptedCluster leadWithClaimedTasks(String submission) {
        lead();
        heartbeat("heartbeat");
        submit(submission);
        environment.play(SHORTLY_MS);
        return this;
    }

    /** Leads, with one worker that runs both tasks of a job. */
    ScriptedCluster leadWithRunningTasks() {
        workersAnswer("POST /commands", "answer to direct run");
        leadWithClaimedTasks("submission");
        heartbeat("heartbeat, running");
        return this;
    }

    /** The request of this line that was sent last. */
    Sent lastSent(String line) {
        var all = environment.sent(line);
        if (all.isEmpty()) {
            throw new AssertionError("not sent: " + line);
        }
        return all.get(all.size() - 1);
    }

    /** Checks a request of the controller: its address, first line, JSON form and exact bytes. */
    static void assertSent(GoldenMessages golden, String name, String address, Sent sent) {
        if (!sent.address().equals(address)) {
            throw new AssertionError(name + " went to " + sent.address());
        }
        golden.assertSent(name, sent.line(), sent.body());
    }

    /** Checks an answer of the controller to a worker. */
    static void assertToWorker(String name, Heard heard) {
        WORKERS.assertSent(name, heard.line(), heard.body());
    }

    /** Checks an answer of the controller to a user. */
    static void assertToUser(String name, Heard heard) {
        USERS.assertSent(name, heard.line(), heard.body());
    }
}
