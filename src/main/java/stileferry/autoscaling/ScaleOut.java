package stileferry.autoscaling;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.heartbeat.FailureDetector;
import stileferry.protocol.CloudMessages;
import stileferry.protocol.Environment;

/** Requests machines from the cloud for waiting jobs, each time under an id that is never reused. */
final class ScaleOut {
    private static final Logger LOG = LoggerFactory.getLogger("cloud");

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;

    private static final int MAX_MACHINES_PER_REQUEST = 50;

    /** Time after which a request without a response is sent again. */
    private static final long RESEND_AFTER_MS = 6000;

    private final ClusterState cluster;
    private final Environment environment;
    private final FailureDetector failureDetector;
    private final CloudClient cloud;
    private final ScaleOutBackOff backOff;
    private final String idPrefix;
    private final List<ScaleOutRequest> pendingRequests = new ArrayList<>();
    private final long leadingSince;
    private long lastRequestNumber;

    ScaleOut(
            ClusterState cluster,
            Environment environment,
            FailureDetector failureDetector,
            CloudClient cloud,
            long term) {
        this.cluster = cluster;
        this.environment = environment;
        this.failureDetector = failureDetector;
        this.cloud = cloud;
        this.backOff = new ScaleOutBackOff(environment);
        this.leadingSince = environment.now();
        // No other leader has this term, so no id is ever used twice.
        this.idPrefix = "r-" + cluster.settings().controllerName() + "-" + term + "-";
    }

    /** Requests machines for the waiting jobs, in addition to those that are booting or already requested. */
    void scaleOut(List<Job> waiting) {
        resendUnanswered();
        Set<String> unreachableZones = failureDetector.unreachableZones(leadingSince);
        ScaleOutPlan plan = new ScaleOutPlan(cluster, backOff, unreachableZones, pendingRequests);
        waiting.forEach(plan::add);
        for (List<PlannedMachine> batch : plan.batches(MAX_MACHINES_PER_REQUEST)) {
            if (!cloud.tryAcquire()) {
                return;
            }
            request(batch.get(0).pool(), batch.size());
        }
    }

    private void request(InstancePool pool, int count) {
        ScaleOutRequest request = new ScaleOutRequest(idPrefix + ++lastRequestNumber, pool, count, environment.now());
        pendingRequests.add(request);
        send(request);
    }

    private void resendUnanswered() {
        for (ScaleOutRequest request : List.copyOf(pendingRequests)) {
            if (environment.now() - request.sentAt() > RESEND_AFTER_MS && cloud.tryAcquire()) {
                pendingRequests.remove(request);
                ScaleOutRequest resent = request.resentAt(environment.now());
                pendingRequests.add(resent);
                send(resent);
            }
        }
    }

    private void send(ScaleOutRequest request) {
        InstancePool pool = request.pool();
        cloud.call(
                "POST",
                CloudMessages.SCALE_OUT_PATH,
                CloudMessages.scaleOutRequest(
                        request.id(), pool.type().name(), pool.zone(), pool.spot(), request.count()),
                (status, body) -> receiveAnswer(request, status, body));
    }

    /**
     * Handles the response to a request. After any response not handled here, nothing was done or the outcome is
     * unknown, so the same request is sent again later.
     */
    private void receiveAnswer(ScaleOutRequest request, int status, JsonNode body) {
        if (status == OK && body != null) {
            removePending(request);
            machinesCreated(request, CloudMessages.createdMachines(body));
        } else if (status == UNAVAILABLE && body != null && CloudMessages.reportsNoCapacity(body)) {
            removePending(request);
            backOff.recordRefusal(request.pool());
        } else if (status == BAD_REQUEST) {
            removePending(request);
            LOG.error("scale out request malformed: answer={}", body);
        }
    }

    private void removePending(ScaleOutRequest request) {
        pendingRequests.removeIf(pending -> pending.id().equals(request.id()));
    }

    private void machinesCreated(ScaleOutRequest request, List<String> names) {
        InstancePool pool = request.pool();
        LOG.info(
                "scale out: created={} requested={} spot={} type={} zone={}",
                names.size(),
                request.count(),
                pool.spot(),
                pool.type().name(),
                pool.zone());
        for (String name : names) {
            addMachine(name, request);
        }
        if (names.size() < request.count()) {
            backOff.recordRefusal(pool);
        } else {
            backOff.recordGrant(pool);
        }
    }

    private void addMachine(String name, ScaleOutRequest request) {
        Machine machine = cluster.getOrAddMachine(name);
        machine.setType(request.pool().type());
        machine.setTypeName(request.pool().type().name());
        machine.setSpot(request.pool().spot());
        machine.instance().setRequestedAt(request.sentAt());
        machine.instance().setBooting(!machine.agent().heardThisTerm());
        cluster.setZone(machine, request.pool().zone());
    }
}
