package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage.RequestKind;
import stileferry.protocol.PeerMessage.Response;

/** The users of a simulated cluster: they submit, ask and cancel at any controller until they are answered. */
public final class SimulatedUsers {
    /** Users come back after so many seconds at most, whatever they are told. */
    private static final int LONGEST_WAIT_S = 30;

    /** A user gives up what was not answered for so long. */
    private static final long PATIENCE_MS = 60_000;

    private static final long TIMEOUT_MS = 5000;

    private final SimulatedCluster cluster;
    private final Map<String, SimulatedUser> byJob = new LinkedHashMap<>();

    /** Jobs of whose end their users have been told. */
    int completedJobs;

    SimulatedUsers(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    public SimulatedUser get(String job) {
        return byJob.get(job);
    }

    public Collection<SimulatedUser> values() {
        return byJob.values();
    }

    boolean isEmpty() {
        return byJob.isEmpty();
    }

    /** Adds a user that has asked for nothing yet. */
    SimulatedUser add(JobSpec spec) {
        SimulatedUser user = new SimulatedUser(spec, cluster.now);
        byJob.put(spec.id(), user);
        return user;
    }

    SimulatedUser submit(JobSpec spec) {
        SimulatedUser user = add(spec);
        ask(user, RequestKind.SUBMIT, cluster.now + PATIENCE_MS);
        return user;
    }

    /** Submits a job once more, at one controller. */
    void submitAt(SimulatedUser user, ControllerNode controller) {
        ask(user, RequestKind.SUBMIT, 0, controller);
    }

    void cancel(SimulatedUser user) {
        user.cancelRequested = true;
        ask(user, RequestKind.CANCEL, cluster.now + PATIENCE_MS);
    }

    /** Asks any controller and repeats until there is an answer. */
    private void ask(SimulatedUser user, RequestKind kind, long until) {
        ask(user, kind, until, cluster.anyController());
    }

    private void ask(SimulatedUser user, RequestKind kind, long until, ControllerNode controller) {
        byte[] body = kind == RequestKind.SUBMIT ? MessageCodec.encode(user.spec.write()) : new byte[0];
        Response[] answer = new Response[1];
        long asked = cluster.now;
        cluster.network.exchange(
                "user",
                controller.name(),
                TIMEOUT_MS,
                controller.up(),
                reply -> {
                    if (controller.up()) {
                        long arrived = cluster.now;
                        SimulatedEnvironment process = controller.environment;
                        process.turn(
                                () -> controller.coordinator.handleUserRequest(kind, user.spec.id(), body, response -> {
                                    long since = Math.max(arrived, process.frozenUntil); // it stood still until then
                                    cluster.invariants.checkResponse(kind, response, cluster.now - since);
                                    answer[0] = response;
                                    reply.onResponse(response.status(), null);
                                }));
                    }
                },
                (status, none) -> {
                    if (isFinal(status)) {
                        receiveAnswer(user, kind, asked, status, MessageCodec.decode(answer[0].body()));
                    } else if (cluster.now < until) {
                        askLater(user, kind, until, answer[0]);
                    }
                });
    }

    private void askLater(SimulatedUser user, RequestKind kind, long until, Response response) {
        user.rejections++;
        int retryAfterS = response == null ? 1 : response.retryAfterS();
        cluster.after(1000L * Math.max(1, Math.min(LONGEST_WAIT_S, retryAfterS)), () -> ask(user, kind, until));
    }

    private static boolean isFinal(int status) {
        return status == 200 || status == 201 || isRejection(status);
    }

    private static boolean isRejection(int status) {
        return status == 404 || status == 400 || status == 422;
    }

    /** A final answer to a request that was sent at the time given. */
    void receiveAnswer(SimulatedUser user, RequestKind kind, long asked, int status, JsonNode body) {
        user.lastAnswerAt = cluster.now;
        if (isRejection(status)) {
            cluster.invariants.checkRejection(user, kind, status);
            return;
        }
        String phase = body.path("tide").asText();
        if (user.endState != null && !user.endState.equals(phase) && asked < user.completedAt) {
            return; // asked before the end was told, and answered for that moment, but slow to arrive
        }
        cluster.invariants.checkAnswer(user, phase, body);
        if (phase.equals("cancelled") && user.cancelConfirmedAt == 0) {
            user.cancelConfirmedAt = cluster.now;
        }
        if (phase.equals("done") || phase.equals("cancelled")) {
            receiveEnd(user, phase);
        }
        if (kind == RequestKind.SUBMIT && !user.accepted) {
            user.accepted = true;
            user.acceptedAt = cluster.now;
            poll(user);
            repeatRequests(user);
        }
    }

    private void receiveEnd(SimulatedUser user, String phase) {
        boolean first = user.endState == null;
        user.endState = phase;
        if (first) {
            completedJobs++;
            user.completedAt = cluster.now;
            repeatRequests(user);
        }
    }

    /** If users repeat their requests, one that has heard something new asks all controllers at once. */
    private void repeatRequests(SimulatedUser user) {
        if (cluster.faults.usersRepeatRequests) {
            askAll(user, RequestKind.STATUS);
            askAll(user, RequestKind.SUBMIT);
            if (user.cancelRequested || cluster.random.nextInt(10) == 0) {
                cluster.after(cluster.random.nextLong(8), () -> cancel(user));
            }
        }
    }

    private void askAll(SimulatedUser user, RequestKind kind) {
        for (ControllerNode controller : cluster.controllers.values()) {
            cluster.after(cluster.random.nextLong(8), () -> ask(user, kind, 0, controller));
        }
    }

    private void poll(SimulatedUser user) {
        ask(user, RequestKind.STATUS, 0);
        cluster.after(user.endState == null ? 3000 : 15_000, () -> poll(user));
    }
}
