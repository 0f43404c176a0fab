package stileferry.coordination;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import stileferry.heartbeat.EventLoopLag;
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
 * The single owner of one controller's state. Every method runs on the owner's turn; replies may come in a later
 * turn. Given the same calls and the same {@link Environment}, it does the same.
 */
public final class Coordinator implements LeaderElection.Listener {
    /** A controller is ready for this long after it last saw a leader, so that a failover resets nobody. */
    private static final long READY_GRACE_MS = 8000;

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

    /** A coordinator for one controller, without optional parts. */
    public Coordinator(Settings settings, Environment environment) {
        this(settings, Features.NONE, environment);
    }

    /** A coordinator for one controller. */
    public Coordinator(Settings settings, Features features, Environment plainEnvironment) {
        this.links = features.partialCuts()
                ? new LinkMonitor(settings, plainEnvironment, LeaderElection.leaseDurationMs(settings))
                : LinkHealth.NONE;
        this.environment = links.observedEnvironment(plainEnvironment);
        KeyValueStoreClient store = new KeyValueStoreClient(environment, settings);
        this.admission =
                features.fairAdmission() ? new FairAdmission(settings, environment, store) : AdmissionControl.NONE;
        this.election = new LeaderElection(environment, store, settings, this, links, admission.countsAdmissions());
        this.controller = new ControllerContext(
                settings,
                environment,
                store,
                election,
                links,
                admission,
                new EventLoopLag(environment, settings.workers().heartbeatIntervalS()),
                new CompletedJobCache(settings.maxSockets()));
        this.machineTypes = new MachineTypeCatalog(environment, settings.cloudAddress(), this::updateMachineTypes);
        RequestMetrics metrics = new RequestMetrics();
        this.heartbeats = new HeartbeatRouter(controller, this::leader);
        this.userRequests = new UserRequestRouter(controller, this::leader, heartbeats, metrics);
        this.peerMessages = new PeerMessageHandler(controller, this::leader, userRequests);
        this.localAdministration = new LocalAdministration(controller, metrics);
    }

    /** Begins to follow or run for the leadership. */
    public void start() {
        controller.eventLoopLag().start();
        election.start();
        machineTypes.refresh();
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
    public void elected(long term, long leaderRevision) {
        leader = new Leader(controller, machineTypes.types(), term, leaderRevision);
        admission.elected(term);
        links.elected(term, leader::transactionsInFlight);
    }

    @Override
    public void deposed() {
        if (leader != null) {
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

    /** Whether this controller leads. */
    public boolean leads() {
        return leader != null;
    }

    /** Whether users should be sent here: a leader is, or was just now, within reach. */
    public boolean ready() {
        long now = environment.now();
        if (leader != null && leader.active()) {
            leaderLastSeenAt = now;
        } else if (election.leaderPeer() != null) {
            leaderLastSeenAt = Math.max(leaderLastSeenAt, election.leaderLastHeardAt());
        }
        return now - leaderLastSeenAt < READY_GRACE_MS && !admission.shedsUsers();
    }

    /** What is known of the links. */
    LinkHealth links() {
        return links;
    }

    // ---- requests

    /** Called after each batch of commands. */
    public void endOfBatch() {
        if (leader != null) {
            leader.flush();
        }
    }

    /** Takes a user's request: here when this controller leads, else by way of the leader. */
    public void handleUserRequest(
            PeerMessage.RequestKind kind, String id, byte[] body, Consumer<PeerMessage.Response> reply) {
        userRequests.handle(new PeerMessage.ForwardedRequest(kind, id, body), reply);
    }

    /** Takes an operator's request; the path is what follows the prefix, with its query. */
    public void handleAdministrationRequest(
            String method, String path, byte[] body, Consumer<PeerMessage.Response> reply) {
        if (!localAdministration.tryAnswer(method, path, reply)) {
            handleUserRequest(PeerMessage.RequestKind.ADMINISTRATION, method + " " + path, body, reply);
        }
    }

    /** Seconds after which a request that met the limit on requests in progress is worth a try; 0: it may pass it. */
    public int retryAfterS(PeerMessage.RequestKind kind, byte[] body) {
        return admission.retryAfterS(kind, body);
    }

    /** Takes a worker's heartbeat; the reply is an HTTP status and a body. */
    public void handleHeartbeat(byte[] body, BiConsumer<Integer, byte[]> reply) {
        heartbeats.handle(body, reply);
    }

    /** Takes a message from another controller. */
    public void handlePeerMessage(PeerMessage message, Consumer<PeerMessage> reply) {
        peerMessages.handle(message, reply);
    }
}
