package stileferry.coordination;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.InvariantMonitor;
import stileferry.heartbeat.EventLoopLag;
import stileferry.leadership.FencingTokens;
import stileferry.leadership.LeaderElection;
import stileferry.lifecycle.CompletedJobCache;
import stileferry.links.LinkHealth;
import stileferry.links.LinkMonitor;
import stileferry.overload.AdmissionControl;
import stileferry.overload.FairAdmission;
import stileferry.protocol.Environment;
import stileferry.protocol.Features;
import stileferry.protocol.MachineType;
import stileferry.protocol.OperatorSettings;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;
import stileferry.requests.RequestMetrics;
import stileferry.storage.KeyValueStoreClient;

/**
 * Owns the state of one controller. All methods must be called from its single event loop; a reply may come in a later
 * turn of the loop. Behaviour is deterministic, given the same calls and the same {@link Environment}.
 */
public final class Coordinator implements LeaderElection.Listener {
    /**
     * How long a controller stays ready after it last saw a leader, so that a failover does not cause users'
     * connections to be reset.
     */
    private static final long READY_GRACE_MS = 8000;

    private static final int HEALTHY_STATUS = 200;
    private static final int UNHEALTHY_STATUS = 503;
    private static final Logger LOG = LoggerFactory.getLogger("coordinator");

    private final ControllerContext controller;
    private final Environment environment;
    private final LeaderElection election;
    private final LinkHealth links;
    private final AdmissionControl admission;
    private final MachineTypeCatalog machineTypes;
    private final HeartbeatRouter heartbeats;
    private final UserRequestRouter userRequests;
    private final PeerMessageHandler peerMessages;
    private final LocalAdministration localAdministration;

    /** Null while this controller does not lead. */
    private Leader leader;

    private long leaderLastSeenAt = Long.MIN_VALUE / 2;

    /** The status of the last health check, or 0 before the first one. */
    private int lastHealthCheckStatus;

    /** Creates the coordinator of one controller with all optional features off. */
    public Coordinator(Settings settings, Environment environment) {
        this(settings, Features.NONE, environment);
    }

    /** Creates the coordinator of one controller, without starting it. */
    public Coordinator(Settings settings, Features features, Environment environment) {
        this(settings, features, environment, FencingTokens.TOKENS_PER_TERM);
    }

    /** Creates a coordinator whose terms own this many fencing tokens; those of older versions own one. */
    Coordinator(Settings settings, Features features, Environment unobservedEnvironment, int tokensPerTerm) {
        this.links = features.partialCuts()
                ? new LinkMonitor(settings, unobservedEnvironment, LeaderElection.leaseDurationMs(settings))
                : LinkHealth.NONE;
        this.environment = links.observedEnvironment(unobservedEnvironment);
        KeyValueStoreClient store = new KeyValueStoreClient(environment, settings);
        this.admission =
                features.fairAdmission() ? new FairAdmission(settings, environment, store) : AdmissionControl.NONE;
        this.election = new LeaderElection(
                environment, store, settings, this, links, admission.countsAdmissions(), tokensPerTerm);
        this.controller = new ControllerContext(
                settings,
                environment,
                store,
                election,
                links,
                admission,
                new EventLoopLag(environment, settings.workers().heartbeatIntervalS()),
                new CompletedJobCache(settings.maxSockets()),
                new RequestMetrics(),
                new InvariantMonitor());
        this.machineTypes = new MachineTypeCatalog(environment, settings.cloudAddress(), this::updateMachineTypes);
        this.heartbeats = new HeartbeatRouter(controller, this::leader);
        this.userRequests = new UserRequestRouter(controller, this::leader, heartbeats);
        this.peerMessages = new PeerMessageHandler(controller, this::leader, userRequests);
        this.localAdministration = new LocalAdministration(controller);
    }

    /** Starts all components; from now on the controller follows the leader or campaigns for leadership. */
    public void start() {
        controller.eventLoopLag().start();
        election.start();
        machineTypes.refresh();
        new RequestSummaryLog(controller).start();
        links.start(new LinkHealthCallbacks(election, controller.store(), controller.eventLoopLag()));
        admission.start(new AdmissionCallbacks(this::leader, election, controller.eventLoopLag()));
    }

    private void updateMachineTypes(List<MachineType> types) {
        if (leader != null) {
            leader.setMachineTypes(types);
        }
    }

    private Leader leader() {
        return leader;
    }

    // ---- leadership

    @Override
    public void elected(FencingTokens tokens, long leaderRevision) {
        leader = new Leader(controller, machineTypes.types(), tokens, leaderRevision);
        admission.elected(tokens.term());
        links.elected(tokens.term(), tokens.first(), leader::transactionsInFlight);
    }

    @Override
    public void deposed() {
        if (leader != null) {
            if (leader.active()) {
                leaderLastSeenAt = environment.now();
            }
            leader.close();
            leader = null;
            links.deposed();
            admission.deposed();
        }
    }

    @Override
    public void operatorSettings(OperatorSettings operatorSettings) {
        environment.setLogLevel(operatorSettings.text(OperatorSettings.LOG_LEVEL));
    }

    /** Returns whether this controller leads, as far as it knows. */
    public boolean leads() {
        return leader != null;
    }

    /**
     * Returns whether users' requests should be sent to this controller: it is the active leader or knows the leader,
     * or did so recently, and it does not shed load.
     */
    public boolean ready() {
        long now = environment.now();
        if (leader != null && leader.active()) {
            leaderLastSeenAt = now;
        } else if (election.leaderPeer() != null) {
            leaderLastSeenAt = Math.max(leaderLastSeenAt, election.leaderLastHeardAt());
        }
        return now - leaderLastSeenAt < READY_GRACE_MS && !admission.shedsUsers();
    }

    /** Returns the status with which a health check is answered. */
    public int healthCheckStatus() {
        int status = ready() ? HEALTHY_STATUS : UNHEALTHY_STATUS;
        if (status != lastHealthCheckStatus) {
            LOG.info(
                    "health checks answered with: status={} previous={} leader_seen_ms={}",
                    status,
                    lastHealthCheckStatus,
                    environment.now() - leaderLastSeenAt);
            lastHealthCheckStatus = status;
        }
        controller.metrics().recordHealthCheck(status == HEALTHY_STATUS);
        return status;
    }

    /** Returns the monitor of the invariants that this controller checks while it runs. */
    InvariantMonitor invariants() {
        return controller.invariants();
    }

    /** Returns what this controller knows about the health of its links. */
    LinkHealth links() {
        return links;
    }

    // ---- requests

    /** Called after each batch of commands; sends the changes and commands that the batch has queued. */
    public void endOfBatch() {
        if (leader != null) {
            leader.flush();
        }
    }

    /** Handles a user's request: locally if this controller leads, otherwise by forwarding it to the leader. */
    public void handleUserRequest(
            PeerMessage.RequestKind kind, String id, byte[] body, Consumer<PeerMessage.Response> reply) {
        userRequests.handle(new PeerMessage.ForwardedRequest(kind, id, body), reply);
    }

    /**
     * Handles an operator's request, locally or by forwarding it to the leader.
     *
     * @param path the part of the path after the administration prefix, including the query
     */
    public void handleAdministrationRequest(
            String method, String path, byte[] body, Consumer<PeerMessage.Response> reply) {
        if (!localAdministration.tryAnswer(method, path, reply)) {
            handleUserRequest(PeerMessage.RequestKind.ADMINISTRATION, method + " " + path, body, reply);
        }
    }

    /**
     * Returns after how many seconds a request that exceeds the limit on requests in progress should be retried, or 0
     * if it may exceed the limit.
     */
    public int retryAfterS(PeerMessage.RequestKind kind, byte[] body) {
        return admission.retryAfterS(kind, body);
    }

    /** Returns whether a request is handled regardless of how many others are in progress. */
    public boolean passesConcurrencyLimit(PeerMessage.RequestKind kind, String id) {
        return userRequests.passesConcurrencyLimit(kind, id);
    }

    /** Counts a request that was refused because too many are in progress. */
    public void countRefused(PeerMessage.RequestKind kind) {
        userRequests.countRefused(kind);
    }

    /** Handles a worker's heartbeat; the reply is an HTTP status and a body. */
    public void handleHeartbeat(byte[] body, BiConsumer<Integer, byte[]> reply) {
        heartbeats.handle(body, reply);
    }

    /** Handles a message from another controller; the result is the message to reply with. */
    public void handlePeerMessage(PeerMessage message, Consumer<PeerMessage> reply) {
        peerMessages.handle(message, reply);
    }
}
