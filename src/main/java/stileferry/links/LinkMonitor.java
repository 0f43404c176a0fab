package stileferry.links;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.BiMap;
import com.google.common.collect.HashBiMap;
import java.util.List;
import java.util.function.IntSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.connectivity.Advice;
import stileferry.connectivity.Connectivity;
import stileferry.connectivity.ConnectivityConfig;
import stileferry.connectivity.Decision;
import stileferry.connectivity.FailureKind;
import stileferry.connectivity.HandoverAction;
import stileferry.connectivity.ReachabilityView;
import stileferry.connectivity.WorkerReport;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;

/**
 * Lets {@link Connectivity} watch the links of one controller: hands it what happens, carries its views and probes, and
 * does what it advises. It starts nothing and proves nothing; it only releases the leadership or leaves it to others.
 */
public final class LinkMonitor implements LinkHealth, LinkObservingEnvironment.Observer {
    private static final Logger LOG = LoggerFactory.getLogger("links");

    private static final long LEAST_PATIENCE_MS = 500;

    /** While a handover is under way it is looked at this often. */
    private static final long HANDOVER_STEP_MS = 50;

    private final Settings settings;
    private final Environment environment;
    private final Connectivity connectivity;
    private final ViewExchange exchange;
    private final WorkerProber prober;
    private final long tickMs;
    private final long storeProbeMs;

    /** Workers by the addresses that requests reach them at. */
    private final BiMap<String, String> workerAt = HashBiMap.create();

    private Host host;
    private IntSupplier changesInFlight = () -> 0;
    private long term;
    private boolean releasing;

    /** The newest term of another leader that the others were told of. */
    private long toldTerm;

    private long storeSeenAt = Long.MIN_VALUE / 2;
    private Advice lastAdvice;

    public LinkMonitor(Settings settings, Environment environment, long leaderLeaseMs) {
        this.settings = settings;
        this.environment = environment;
        Settings.WorkerTimes workers = settings.workers();
        ConnectivityConfig config = new ConnectivityConfig(
                settings.controllerName(),
                settings.peers().stream().map(Settings.Peer::name).toList(),
                Math.round(workers.heartbeatIntervalS() * 1000),
                Math.round(workers.leaseS() * 1000),
                leaderLeaseMs);
        this.connectivity = new Connectivity(config, Math.max(1, environment.timeOfDay()), environment.now());
        this.tickMs = config.exchangeMs(true);
        long patienceMs = Math.max(LEAST_PATIENCE_MS, tickMs);
        long exchangePatienceMs = config.exchangeMs(false); // one that is merely slow is no lost one
        this.storeProbeMs = config.storeProbeMs();
        this.exchange = new ViewExchange(
                settings, observedEnvironment(environment), connectivity, exchangePatienceMs, this::taken);
        this.prober = new WorkerProber(settings, environment, connectivity, patienceMs);
    }

    @Override
    public boolean enabled() {
        return true;
    }

    @Override
    public Environment observedEnvironment(Environment plain) {
        return new LinkObservingEnvironment(plain, this);
    }

    @Override
    public void start(Host controller) {
        host = controller;
        tick();
    }

    private void tick() {
        environment.schedule(tickMs, this::tick);
        long now = environment.now();
        connectivity.leaderKnown(host.term(), host.leader(), now);
        connectivity.lagging(host.eventLoopLagMs(), host.behind(), now);
        if (now - storeSeenAt >= storeProbeMs) {
            host.probeStore(); // a link that nothing else uses
        }
        exchange.ifDue();
        prober.send();
        follow(connectivity.advise(now));
    }

    // ---- leading

    @Override
    public void elected(long wonTerm, IntSupplier inFlight) {
        term = wonTerm;
        changesInFlight = inFlight;
        releasing = false;
        workerAt.clear();
        connectivity.leads(wonTerm, environment.now());
    }

    @Override
    public void deposed() {
        connectivity.follows(!releasing, environment.now());
        releasing = false;
    }

    private void follow(Advice advice) {
        if (lastAdvice == null || lastAdvice.action() != advice.action()) {
            LOG.info("{}: {}", advice.action(), advice.reason());
        }
        lastAdvice = advice;
        if (!host.leading()) {
            return;
        }
        if (advice.action() == Advice.Action.STEP_DOWN) {
            release("nobody");
        } else if (advice.action() == Advice.Action.HAND_OVER
                && connectivity.beginHandover(advice.nominee(), environment.now())) {
            LOG.info("handing term {} over to {}", term, advice.nominee());
            exchange.withAll();
            continueHandover(advice.nominee());
        }
    }

    private void continueHandover(String nominee) {
        HandoverAction action = connectivity.nextInHandover(changesInFlight.getAsInt(), environment.now());
        switch (action) {
            case WAIT -> environment.schedule(HANDOVER_STEP_MS, () -> continueHandover(nominee));
            case RELEASE -> release(nominee);
            case GIVEN_UP -> {
                LOG.info("the handover to {} was given up, still leading in term {}", nominee, term);
                exchange.withAll();
            }
            default -> {}
        }
    }

    private void release(String nominee) {
        if (host.leading()) {
            LOG.info("releasing term {} to {}", term, nominee);
            releasing = true;
            host.releaseLeadership();
            connectivity.released(environment.now());
        }
    }

    // ---- what is seen

    private static WorkerReport seen(Heartbeat heartbeat, boolean showsTerm) {
        return new WorkerReport(
                heartbeat.machine(),
                heartbeat.address(),
                Math.max(0, heartbeat.incarnation()),
                Math.max(0, heartbeat.sequence()),
                showsTerm);
    }

    @Override
    public void heartbeatReceived(Heartbeat report) {
        if (!report.machine().isEmpty()) {
            connectivity.workerReported(seen(report, false), environment.now());
        }
    }

    @Override
    public void heartbeatAnswered(Heartbeat report, boolean relayed) {
        if (report.machine().isEmpty()) {
            return;
        }
        long now = environment.now();
        workerAt.forcePut(report.address(), report.machine());
        if (relayed) {
            connectivity.workerRelayed(seen(report, report.fencingToken() >= term), now);
        } else {
            connectivity.workerReported(seen(report, report.fencingToken() >= term), now);
            connectivity.workerAnswered(report.machine(), now);
        }
    }

    @Override
    public void workerExpected(String machine, String addr) {
        if (!addr.isEmpty()) {
            workerAt.forcePut(addr, machine);
        }
        connectivity.workerExpected(machine, addr, environment.now());
    }

    @Override
    public void workerGone(String machine) {
        connectivity.workerGone(machine, environment.now());
        workerAt.inverse().remove(machine);
    }

    @Override
    public void requested(String addr, int status) {
        long now = environment.now();
        boolean answered = status > 0;
        FailureKind kind = status == Environment.NO_ANSWER ? FailureKind.UNANSWERED : FailureKind.REFUSED;
        if (addr.equals(settings.keyValueStoreAddress())) {
            if (answered && status != 503) {
                storeSeenAt = now;
                connectivity.storeAnswered(now);
            } else {
                connectivity.storeFailed(kind, now);
            }
            return;
        }
        String worker = workerAt.get(addr);
        if (worker != null && host != null && host.leading()) {
            if (answered) {
                connectivity.workerReached(worker, false, now);
            } else {
                connectivity.workerMissed(worker, false, now);
            }
        }
    }

    @Override
    public void exchanged(String controller, boolean answered) {
        if (answered) {
            connectivity.peerAnswered(controller, environment.now());
        } else {
            connectivity.peerFailed(controller, FailureKind.UNANSWERED, environment.now());
        }
    }

    // ---- views

    @Override
    public List<String> controllersExchangingViews() {
        return exchange.aware();
    }

    @Override
    public void announcementReceived(String controller, PeerMessage.TermAnnouncement said) {
        exchange.learn(controller, said);
        if (said.leading() && said.term() > toldTerm) {
            toldTerm = said.term();
            connectivity.leaderKnown(said.term(), controller, environment.now());
            exchange.withAll(); // another controller may not hear the new leader
        }
    }

    @Override
    public PeerMessage receiveView(PeerMessage.LinkView links) {
        return exchange.answer(links);
    }

    private void taken(ReachabilityView.Header header) {
        host.observeTerm(header.term(), header.leading() ? header.sender() : "");
        connectivity.leaderKnown(host.term(), host.leader(), environment.now());
    }

    // ---- what may be done

    private boolean permits(Decision decision) {
        return connectivity.permits(decision, environment.now()).allowed();
    }

    @Override
    public boolean leaderHearsWorker(String leader, String machine) {
        return connectivity.knownBy(leader, machine, environment.now());
    }

    @Override
    public boolean leaderCannotReachWorker(String leader, String machine) {
        return connectivity.missedBy(leader, machine, environment.now());
    }

    @Override
    public String leaderHint(long leastTerm) {
        return connectivity.leaderSeenByOthers(leastTerm, environment.now());
    }

    @Override
    public boolean peerUnreachable(String controller) {
        return connectivity.unreachable(controller, environment.now());
    }

    @Override
    public boolean leaderHandsOver(String leader) {
        return connectivity.handsOver(leader, environment.now());
    }

    @Override
    public long electionDelayMs() {
        return connectivity.abstainMs(environment.now());
    }

    @Override
    public boolean handingOver() {
        return connectivity.handingOver();
    }

    @Override
    public boolean permitsTaskStart() {
        return permits(Decision.START);
    }

    @Override
    public boolean permitsPreemption() {
        return permits(Decision.PREEMPT);
    }

    @Override
    public boolean permitsScaleOut() {
        return permits(Decision.RENT);
    }

    @Override
    public boolean permitsScaleIn() {
        return permits(Decision.RETURN_WORKER);
    }

    @Override
    public boolean permitsRemovingMachine(String machine) {
        return connectivity.permitsGivingUp(machine, environment.now()).allowed();
    }

    @Override
    public boolean permitsUserChanges() {
        return permits(Decision.ACCEPT) && permits(Decision.CONFIRM_CANCELLATION);
    }

    @Override
    public ObjectNode describe() {
        return LinkHealthView.describe(connectivity.snapshot(environment.now()), exchange.aware());
    }
}
