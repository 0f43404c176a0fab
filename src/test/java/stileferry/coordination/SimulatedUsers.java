package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage.RequestKind;
import stileferry.protocol.PeerMessage.Response;

/** The users of a simulated cluster, who send requests to random controllers and retry until a final response. */
public final class SimulatedUsers {
    /** The longest delay before a user retries, whatever Retry-After says. */
    private static final int MAX_RETRY_DELAY_S = 30;

    /** A user stops retrying a request that got no final response for this long. */
    private static final long GIVE_UP_AFTER_MS = 60_000;

    private static final long REQUEST_TIMEOUT_MS = 5000;

    private final SimulatedCluster cluster;
    private final Map<String, SimulatedUser> userByJobId = new LinkedHashMap<>();

    /** The number of jobs whose end has been reported to their users. */
    int completedJobs;

    SimulatedUsers(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Returns the user of a job, or null if no user submitted that job id. */
    public SimulatedUser get(String jobId) {
        return userByJobId.get(jobId);
    }

    /** Returns all users, in the order in which they were added. */
    public Collection<SimulatedUser> values() {
        return userByJobId.values();
    }

    boolean isEmpty() {
        return userByJobId.isEmpty();
    }

    /** Adds a user that has not sent any request yet. */
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

    /** Submits a job again, at one given controller and without retries. */
    void submitTo(SimulatedUser user, ControllerNode controller) {
        sendRequest(user, RequestKind.SUBMIT, 0, controller);
    }

    void cancel(SimulatedUser user) {
        user.cancelRequested = true;
        sendRequest(user, RequestKind.CANCEL, cluster.now + GIVE_UP_AFTER_MS);
    }

    /** Sends a request to a random controller, and retries until a final response or until {@code retryUntil}. */
    private void sendRequest(SimulatedUser user, RequestKind kind, long retryUntil) {
        sendRequest(user, kind, retryUntil, cluster.randomController());
    }

    private void sendRequest(SimulatedUser user, RequestKind kind, long retryUntil, ControllerNode controller) {
        byte[] body = kind == RequestKind.SUBMIT ? MessageCodec.encode(user.spec.write()) : new byte[0];
        Response[] received = new Response[1];
        long sentAt = cluster.now;
        cluster.network.exchange(
                "user",
                controller.name(),
                REQUEST_TIMEOUT_MS,
                controller.up(),
                reply -> {
                    if (controller.up()) {
                        long arrived = cluster.now;
                        SimulatedEnvironment environment = controller.environment;
                        environment.execute(
                                () -> controller.coordinator.handleUserRequest(kind, user.spec.id(), body, response -> {
                                    // a paused process handles nothing until it continues
                                    long handledFrom = Math.max(arrived, environment.pausedUntil);
                                    cluster.invariants.checkResponse(kind, response, cluster.now - handledFrom);
                                    received[0] = response;
                                    reply.onResponse(response.status(), null);
                                }));
                    }
                },
                (status, noBody) -> {
                    if (isFinal(status)) {
                        handleResponse(user, kind, sentAt, status, MessageCodec.decode(received[0].body()));
                    } else if (cluster.now < retryUntil) {
                        retryLater(user, kind, retryUntil, received[0]);
                    }
                });
    }

    private void retryLater(SimulatedUser user, RequestKind kind, long retryUntil, Response response) {
        user.retries++;
        int retryAfterS = response == null ? 1 : response.retryAfterS();
        cluster.after(
                1000L * Math.max(1, Math.min(MAX_RETRY_DELAY_S, retryAfterS)),
                () -> sendRequest(user, kind, retryUntil));
    }

    private static boolean isFinal(int status) {
        return status == 200 || status == 201 || isRejection(status);
    }

    private static boolean isRejection(int status) {
        return status == 404 || status == 400 || status == 422;
    }

    /** Handles the final response to a request that was sent at {@code sentAt}. */
    void handleResponse(SimulatedUser user, RequestKind kind, long sentAt, int status, JsonNode body) {
        user.lastResponseAt = cluster.now;
        if (isRejection(status)) {
            cluster.invariants.checkRejection(user, kind, status);
            return;
        }
        String state = body.path("tide").asText();
        if (user.endState != null && !user.endState.equals(state) && sentAt < user.completedAt) {
            return; // a late response to a request that was sent before the user learnt of the job's end
        }
        cluster.invariants.checkJobState(user, state, body);
        if (state.equals("cancelled") && user.cancelConfirmedAt == 0) {
            user.cancelConfirmedAt = cluster.now;
        }
        if (state.equals("done") || state.equals("cancelled")) {
            recordEnd(user, state);
        }
        if (kind == RequestKind.SUBMIT && !user.accepted) {
            user.accepted = true;
            user.acceptedAt = cluster.now;
            poll(user);
            repeatRequests(user);
        }
    }

    private void recordEnd(SimulatedUser user, String state) {
        boolean firstTold = user.endState == null;
        user.endState = state;
        if (firstTold) {
            completedJobs++;
            user.completedAt = cluster.now;
            repeatRequests(user);
        }
    }

    /**
     * Sends the user's requests to all controllers, if {@link FaultInjection#usersRepeatRequests} is set.
     * Called when the user has learnt that the job was accepted or has ended.
     */
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
