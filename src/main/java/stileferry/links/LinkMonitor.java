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
 * Lets {@link Connectivity} monitor the links of one controller: hands it what happens, has its views exchanged and its
 * probes sent, and asks it what is permitted. It starts nothing and proves nothing; it only releases the leadership or
 * leaves it to others.
 */
public final class LinkMonitor implements LinkHealth, LinkObservingEnvironment.Observer {
    private static final long MIN_PROBE_TIMEOUT_MS = 500;

    /** A store with this HTTP status serves nobody, or not this node. */
    private static final int STORE_UNAVAILABLE = 503;

    private final Settings settings;
    private final Environment environment;
    private final Connectivity connectivity;
    private final ViewExchange viewExchange;
    private final WorkerProber prober;
    private final LeadershipHandover handover;
    private final long tickMs;
    private final long storeProbeMs;

    /** Workers by the addresses that requests reach them at. */
    private final BiMap<String, String> workerByAddress = HashBiMap.create();

    private Host host;
    private long term;

    /** The newest term of another leader that the others were sent a view about. */
    private long exchangedTerm;

    private long storeReachedAt = Long.MIN_VALUE / 2;

    /** {@code leaderLeaseMs}: the duration of the leader key's lease. */
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
        this.tickMs = config.exchangeIntervalMs(true);
        long probeTimeoutMs = Math.max(MIN_PROBE_TIMEOUT_MS, tickMs);
        long exchangeTimeoutMs = config.exchangeIntervalMs(false); // longer, as a peer that is merely slow is not lost
        this.storeProbeMs = config.storeProbeIntervalMs();
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
        environment.schedule(tickMs, this::tick);
        long now = environment.now();
        connectivity.leaderObserved(host.term(), host.leader(), now);
        connectivity.eventLoopLagMeasured(host.eventLoopLagMs(), host.behind(), now);
        if (now - storeReachedAt >= storeProbeMs) {
            host.probeStore(); // a link that nothing else uses
        }
        viewExchange.exchangeWhereDue();
        prober.probeWhereDue();
        handover.follow(connectivity.advise(now));
    }

    // ---- leading

    @Override
    public void elected(long wonTerm, IntSupplier changesInFlight) {
        term = wonTerm;
        handover.elected(wonTerm, changesInFlight);
        workerByAddress.clear();
        connectivity.elected(wonTerm, environment.now());
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
            connectivity.relayedHeartbeatReceived(workerHeartbeat(heartbeat, heartbeat.fencingToken() >= term), now);
        } else {
            connectivity.heartbeatReceived(workerHeartbeat(heartbeat, heartbeat.fencingToken() >= term), now);
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
    public void workerGone(String machine) {
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
        if (answered(status) && status != STORE_UNAVAILABLE) {
            storeReachedAt = now;
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

    /** Whether a status is an HTTP status rather than one of {@link Environment}'s. */
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
        if (announcement.senderLeads() && announcement.term() > exchangedTerm) {
            exchangedTerm = announcement.term();
            connectivity.leaderObserved(announcement.term(), controller, environment.now());
            viewExchange.exchangeWithAll(); // another controller may not hear the new leader
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
    public boolean leaderHearsWorker(String leader, String machine) {
        return connectivity.peerKnowsWorker(leader, machine, environment.now());
    }

    @Override
    public boolean leaderCannotReachWorker(String leader, String machine) {
        return connectivity.peerCannotReachWorker(leader, machine, environment.now());
    }

    @Override
    public String leaderHint(long leastTerm) {
        return connectivity.leaderReportedByPeers(leastTerm, environment.now());
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
