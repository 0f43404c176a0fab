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
    private static final int MAX_RETRY_DELAY_S = 30;

    /** A user gives up what was not answered for so long. */
    private static final long GIVE_UP_AFTER_MS = 60_000;

    private static final long REQUEST_TIMEOUT_MS = 5000;

    private final SimulatedCluster cluster;
    private final Map<String, SimulatedUser> userByJobId = new LinkedHashMap<>();

    /** Jobs of whose end their users have been told. */
    int completedJobs;

    SimulatedUsers(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    public SimulatedUser get(String job) {
        return userByJobId.get(job);
    }

    public Collection<SimulatedUser> values() {
        return userByJobId.values();
    }

    boolean isEmpty() {
        return userByJobId.isEmpty();
    }

    /** Adds a user that has asked for nothing yet. */
    SimulatedUser add(JobSpec spec) {
        SimulatedUser user = new SimulatedUser(spec, cluster.now);
        userByJobId.put(spec.id(), user);
        return user;
    }

    SimulatedUser submit(JobSpec spec) {
        SimulatedUser user = add(spec);
        sendRequest(user, RequestKind.SUBMIT, cluster.now + GIVE_UP_AFTER_MS);
        return user;
    }

    /** Submits a job once more, at one controller. */
    void submitTo(SimulatedUser user, ControllerNode controller) {
        sendRequest(user, RequestKind.SUBMIT, 0, controller);
    }

    void cancel(SimulatedUser user) {
        user.cancelRequested = true;
        sendRequest(user, RequestKind.CANCEL, cluster.now + GIVE_UP_AFTER_MS);
    }

    /** Asks any controller and repeats until there is an answer. */
    private void sendRequest(SimulatedUser user, RequestKind kind, long until) {
        sendRequest(user, kind, until, cluster.randomController());
    }

    private void sendRequest(SimulatedUser user, RequestKind kind, long until, ControllerNode controller) {
        byte[] body = kind == RequestKind.SUBMIT ? MessageCodec.encode(user.spec.write()) : new byte[0];
        Response[] answer = new Response[1];
        long asked = cluster.now;
        cluster.network.exchange(
                "user",
                controller.name(),
                REQUEST_TIMEOUT_MS,
                controller.up(),
                reply -> {
                    if (controller.up()) {
                        long arrived = cluster.now;
                        SimulatedEnvironment process = controller.environment;
                        process.execute(
                                () -> controller.coordinator.handleUserRequest(kind, user.spec.id(), body, response -> {
                                    long since = Math.max(arrived, process.pausedUntil); // it stood still until then
                                    cluster.invariants.checkResponse(kind, response, cluster.now - since);
                                    answer[0] = response;
                                    reply.onResponse(response.status(), null);
                                }));
                    }
                },
                (status, none) -> {
                    if (isFinal(status)) {
                        handleResponse(user, kind, asked, status, MessageCodec.decode(answer[0].body()));
                    } else if (cluster.now < until) {
                        retryLater(user, kind, until, answer[0]);
                    }
                });
    }

    private void retryLater(SimulatedUser user, RequestKind kind, long until, Response response) {
        user.retries++;
        int retryAfterS = response == null ? 1 : response.retryAfterS();
        cluster.after(
                1000L * Math.max(1, Math.min(MAX_RETRY_DELAY_S, retryAfterS)), () -> sendRequest(user, kind, until));
    }

    private static boolean isFinal(int status) {
        return status == 200 || status == 201 || isRejection(status);
    }

    private static boolean isRejection(int status) {
        return status == 404 || status == 400 || status == 422;
    }

    /** A final answer to a request that was sent at the time given. */
    void handleResponse(SimulatedUser user, RequestKind kind, long asked, int status, JsonNode body) {
        user.lastResponseAt = cluster.now;
        if (isRejection(status)) {
            cluster.invariants.checkRejection(user, kind, status);
            return;
        }
        String phase = body.path("tide").asText();
        if (user.endState != null && !user.endState.equals(phase) && asked < user.completedAt) {
            return; // asked before the end was told, and answered for that moment, but slow to arrive
        }
        cluster.invariants.checkJobState(user, phase, body);
        if (phase.equals("cancelled") && user.cancelConfirmedAt == 0) {
            user.cancelConfirmedAt = cluster.now;
        }
        if (phase.equals("done") || phase.equals("cancelled")) {
            recordEnd(user, phase);
        }
        if (kind == RequestKind.SUBMIT && !user.accepted) {
            user.accepted = true;
            user.acceptedAt = cluster.now;
            poll(user);
            repeatRequests(user);
        }
    }

    private void recordEnd(SimulatedUser user, String phase) {
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
            sendToAllControllers(user, RequestKind.STATUS);
            sendToAllControllers(user, RequestKind.SUBMIT);
            if (user.cancelRequested || cluster.random.nextInt(10) == 0) {
                cluster.after(cluster.random.nextLong(8), () -> cancel(user));
            }
        }
    }

    private void sendToAllControllers(SimulatedUser user, RequestKind kind) {
        for (ControllerNode controller : cluster.controllers.values()) {
            cluster.after(cluster.random.nextLong(8), () -> sendRequest(user, kind, 0, controller));
        }
    }

    private void poll(SimulatedUser user) {
        sendRequest(user, RequestKind.STATUS, 0);
        cluster.after(user.endState == null ? 3000 : 15_000, () -> poll(user));
    }
}
