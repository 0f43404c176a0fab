package stileferry.links;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.BiMap;
import com.google.common.collect.HashBiMap;
import java.util.List;
import java.util.function.IntSupplier;
import stileferry.connectivity.Connectivity;
import stileferry.connectivity.ConnectivityConfig;
import stileferry.connectivity.Decision;
import stileferry.connectivity.FailureKind;
import stileferry.connectivity.ReachabilityView;
import stileferry.connectivity.WorkerHeartbeat;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;

/**
 * Runs {@link Connectivity} for one controller: reports events to it, exchanges its views, sends its probes, and
 * reports which decisions it permits. It starts no tasks and never concludes that a task has ended; it only releases
 * the leadership or leaves it to other controllers.
 */
public final class LinkMonitor implements LinkHealth, LinkObservingEnvironment.Observer {
    private static final long MIN_PROBE_TIMEOUT_MS = 500;

    /**
     * The key-value store responds with this HTTP status if it serves no clients at all or not this controller; counts
     * as a failure.
     */
    private static final int HTTP_SERVICE_UNAVAILABLE = 503;

    private final Settings settings;
    private final Environment environment;
    private final Connectivity connectivity;
    private final ViewExchange viewExchange;
    private final WorkerProber prober;
    private final LeadershipHandover handover;
    private final long tickIntervalMs;
    private final long storeProbeIntervalMs;

    /** Workers by the addresses to which requests are sent. */
    private final BiMap<String, String> workerByAddress = HashBiMap.create();

    private Host host;
    private long firstToken;

    /** The newest term of another leader whose announcement has caused an exchange of views with all controllers. */
    private long lastExchangedTerm;

    private long storeAnsweredAt = Long.MIN_VALUE / 2;

    /**
     * Creates a monitor for the controller with these settings.
     *
     * @param leaderLeaseMs duration of the leader key's lease in milliseconds
     */
    public LinkMonitor(Settings settings, Environment environment, long leaderLeaseMs) {
        this.settings = settings;
        this.environment = environment;
        Settings.WorkerTimings workers = settings.workers();
        ConnectivityConfig config = new ConnectivityConfig(
                settings.controllerName(),
                settings.peers().stream().map(Settings.Peer::name).toList(),
                Math.round(workers.heartbeatIntervalS() * 1000),
                Math.round(workers.leaseS() * 1000),
                leaderLeaseMs);
        this.connectivity = new Connectivity(config, Math.max(1, environment.timeOfDay()), environment.now());
        this.tickIntervalMs = config.exchangeIntervalMs(true);
        long probeTimeoutMs = Math.max(MIN_PROBE_TIMEOUT_MS, tickIntervalMs);
        long exchangeTimeoutMs = config.exchangeIntervalMs(false); // longer, so that a slow peer does not count as lost
        this.storeProbeIntervalMs = config.storeProbeIntervalMs();
        this.viewExchange = new ViewExchange(
                settings, observedEnvironment(environment), connectivity, exchangeTimeoutMs, this::viewAccepted);
        this.prober = new WorkerProber(settings, environment, connectivity, probeTimeoutMs);
        this.handover = new LeadershipHandover(environment, connectivity, viewExchange);
    }

    @Override
    public boolean enabled() {
        return true;
    }

    @Override
    public Environment observedEnvironment(Environment delegate) {
        return new LinkObservingEnvironment(delegate, this);
    }

    @Override
    public void start(Host controller) {
        host = controller;
        handover.start(controller);
        tick();
    }

    private void tick() {
        environment.schedule(tickIntervalMs, this::tick);
        long now = environment.now();
        connectivity.leaderObserved(host.term(), host.leader(), now);
        connectivity.eventLoopLagMeasured(host.eventLoopLagMs(), host.overloaded(), now);
        if (now - storeAnsweredAt >= storeProbeIntervalMs) {
            host.probeStore(); // other requests have not shown for a while that the link works
        }
        viewExchange.exchangeIfDue();
        prober.sendDueProbes();
        handover.follow(connectivity.advise(now));
    }

    // ---- changes of leadership

    @Override
    public void elected(long newTerm, long newFirstToken, IntSupplier changesInFlight) {
        firstToken = newFirstToken;
        handover.elected(newTerm, changesInFlight);
        workerByAddress.clear();
        connectivity.elected(newTerm, environment.now());
    }

    @Override
    public void deposed() {
        boolean released = handover.deposed();
        connectivity.deposed(!released, environment.now());
    }

    // ---- what the controller observes

    private static WorkerHeartbeat workerHeartbeat(Heartbeat heartbeat, boolean acceptedTerm) {
        return new WorkerHeartbeat(
                heartbeat.machine(),
                heartbeat.address(),
                Math.max(0, heartbeat.incarnation()),
                Math.max(0, heartbeat.sequence()),
                acceptedTerm);
    }

    @Override
    public void heartbeatReceived(Heartbeat heartbeat) {
        if (!heartbeat.machine().isEmpty()) {
            connectivity.heartbeatReceived(workerHeartbeat(heartbeat, false), environment.now());
        }
    }

    @Override
    public void heartbeatAnswered(Heartbeat heartbeat, boolean relayed) {
        if (heartbeat.machine().isEmpty()) {
            return;
        }
        long now = environment.now();
        workerByAddress.forcePut(heartbeat.address(), heartbeat.machine());
        if (relayed) {
            connectivity.relayedHeartbeatReceived(
                    workerHeartbeat(heartbeat, heartbeat.fencingToken() >= firstToken), now);
        } else {
            connectivity.heartbeatReceived(workerHeartbeat(heartbeat, heartbeat.fencingToken() >= firstToken), now);
            connectivity.heartbeatAnswered(heartbeat.machine(), now);
        }
    }

    @Override
    public void workerExpected(String machine, String address) {
        if (!address.isEmpty()) {
            workerByAddress.forcePut(address, machine);
        }
        connectivity.workerExpected(machine, address, environment.now());
    }

    @Override
    public void workerRemoved(String machine) {
        connectivity.workerRemoved(machine, environment.now());
        workerByAddress.inverse().remove(machine);
    }

    @Override
    public void requestCompleted(String address, int status) {
        if (address.equals(settings.keyValueStoreAddress())) {
            storeRequestCompleted(status);
            return;
        }
        String worker = workerByAddress.get(address);
        if (worker != null && host != null && host.leading()) {
            workerRequestCompleted(worker, status);
        }
    }

    private void storeRequestCompleted(int status) {
        long now = environment.now();
        if (answered(status) && status != HTTP_SERVICE_UNAVAILABLE) {
            storeAnsweredAt = now;
            connectivity.storeAnswered(now);
        } else {
            connectivity.storeFailed(
                    status == Environment.NO_RESPONSE ? FailureKind.UNANSWERED : FailureKind.REFUSED, now);
        }
    }

    private void workerRequestCompleted(String worker, int status) {
        if (answered(status)) {
            connectivity.workerRequestAnswered(worker, false, environment.now());
        } else {
            connectivity.workerRequestFailed(worker, false, environment.now());
        }
    }

    /**
     * Returns whether a request received a response, that is, whether its status is an HTTP status and not one of
     * {@link Environment}'s.
     */
    private static boolean answered(int status) {
        return status > 0;
    }

    @Override
    public void peerRequestCompleted(String controller, boolean answered) {
        if (answered) {
            connectivity.peerRequestAnswered(controller, environment.now());
        } else {
            connectivity.peerRequestFailed(controller, FailureKind.UNANSWERED, environment.now());
        }
    }

    // ---- views

    @Override
    public List<String> controllersExchangingViews() {
        return viewExchange.controllersExchangingViews();
    }

    @Override
    public void announcementReceived(String controller, PeerMessage.TermAnnouncement announcement) {
        viewExchange.announcementReceived(controller, announcement);
        if (announcement.senderLeads() && announcement.term() > lastExchangedTerm) {
            lastExchangedTerm = announcement.term();
            connectivity.leaderObserved(announcement.term(), controller, environment.now());
            viewExchange.exchangeWithAll(); // another controller may not receive the new leader's announcements
        }
    }

    @Override
    public PeerMessage receiveView(PeerMessage.LinkView view) {
        return viewExchange.receive(view);
    }

    private void viewAccepted(ReachabilityView.Header header) {
        host.observeTerm(header.term(), header.leading() ? header.sender() : "");
        connectivity.leaderObserved(host.term(), host.leader(), environment.now());
    }

    // ---- what the controller may do

    private boolean permits(Decision decision) {
        return connectivity.permits(decision, environment.now()).allowed();
    }

    @Override
    public boolean leaderKnowsWorker(String leader, String machine) {
        return connectivity.peerKnowsWorker(leader, machine, environment.now());
    }

    @Override
    public boolean leaderCannotReachWorker(String leader, String machine) {
        return connectivity.peerCannotReachWorker(leader, machine, environment.now());
    }

    @Override
    public String leaderHint(long minTerm) {
        return connectivity.leaderReportedByPeers(minTerm, environment.now());
    }

    @Override
    public boolean peerUnreachable(String controller) {
        return connectivity.peerUnreachable(controller, environment.now());
    }

    @Override
    public boolean leaderHandsOver(String leader) {
        return connectivity.peerHandsOver(leader, environment.now());
    }

    @Override
    public long electionDelayMs() {
        return connectivity.electionDelayMs(environment.now());
    }

    @Override
    public boolean handingOver() {
        return connectivity.handingOver();
    }

    @Override
    public boolean permitsTaskStart() {
        return permits(Decision.START_TASK);
    }

    @Override
    public boolean permitsPreemption() {
        return permits(Decision.PREEMPT);
    }

    @Override
    public boolean permitsScaleOut() {
        return permits(Decision.SCALE_OUT);
    }

    @Override
    public boolean permitsScaleIn() {
        return permits(Decision.SCALE_IN);
    }

    @Override
    public boolean permitsRemovingMachine(String machine) {
        return connectivity.permitsRemovingWorker(machine, environment.now()).allowed();
    }

    @Override
    public boolean permitsUserChanges() {
        return permits(Decision.ADMIT_JOB) && permits(Decision.CONFIRM_CANCELLATION);
    }

    @Override
    public ObjectNode describe() {
        return LinkHealthView.describe(
                connectivity.snapshot(environment.now()), viewExchange.controllersExchangingViews());
    }
}
