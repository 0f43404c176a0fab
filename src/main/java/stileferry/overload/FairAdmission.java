package stileferry.overload;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.admission.AdmissionCodec;
import stileferry.admission.AdmissionConfig;
import stileferry.admission.AdmissionController;
import stileferry.admission.AdmissionDecision;
import stileferry.admission.BackPressure;
import stileferry.admission.Flow;
import stileferry.admission.LoadShedder;
import stileferry.protocol.Environment;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;
import stileferry.protocol.SubmissionHeader;
import stileferry.protocol.UserMessages;
import stileferry.requests.JobRequestHandler;
import stileferry.requests.Responses;
import stileferry.storage.KeyValueStoreClient;
import stileferry.validation.InvalidInputException;

/**
 * Divides admissions while this controller leads, and refuses by the leader's word while it does not
 * (docs/admission.md).
 */
public final class FairAdmission implements AdmissionControl {
    private static final Logger LOG = LoggerFactory.getLogger("admission");

    /** Accepted jobs that are remembered for each socket: users ask again over some of them at a time. */
    private static final int REMEMBERED_JOBS_PER_SOCKET = 2;

    /** Batches of status requests that are in flight. */
    private static final int MAX_STATUS_BATCHES = 2;

    /** Batches of other requests that are in flight; they wait until a change is durable. */
    private static final int MAX_CHANGE_BATCHES = 6;

    /** Seconds of the key-value store's rates that may wait before only the most urgent is accepted. */
    private static final double URGENT_ONLY_BACKLOG_S = JobRequestHandler.MAX_BACKLOG_S * 0.75;

    /** A saturated leader leaves users to the others for so long: half of the users' patience. */
    private static final long SHED_USERS_MS = Math.round(1000 * AdmissionConfig.CLIENT_RETRY_TIMEOUT_S / 2);

    private static final byte[] NOT_YET_ADMISSIBLE_BODY =
            MessageCodec.encode(UserMessages.error("too much is asked, come back then"));

    private final Environment environment;
    private final AdmissionConfig config;
    private final LoadShedder loadShedder;
    private final AdmissionTotalsReader totalsReader;
    private final RequestForwarder statusRequests;
    private final RequestForwarder changeRequests;

    private Host host;
    /** Null while this controller does not lead. */
    private AdmissionController controller;

    private boolean exchangeInFlight;
    private long lastSaturatedAt = Long.MIN_VALUE / 2;
    private long lastExchangeAt = Long.MIN_VALUE / 2;
    private int limitedFlows;

    /** The name of the leader whose table this controller has; others are not sent batches. */
    private String tableLeader = "";

    /** The division of admissions at one controller. */
    public FairAdmission(Settings settings, Environment environment, KeyValueStoreClient store) {
        this.environment = environment;
        this.config = AdmissionSettings.config(settings);
        this.loadShedder = new LoadShedder(config, REMEMBERED_JOBS_PER_SOCKET * settings.maxSockets());
        this.totalsReader = new AdmissionTotalsReader(store);
        this.statusRequests = new RequestForwarder(environment, MAX_STATUS_BATCHES);
        this.changeRequests = new RequestForwarder(environment, MAX_CHANGE_BATCHES);
    }

    @Override
    public boolean countsAdmissions() {
        return true;
    }

    @Override
    public void start(Host newHost) {
        host = newHost;
        tick();
    }

    private void tick() {
        environment.schedule(config.intervalMs(), this::tick);
        loadShedder.observeTerm(host.term());
        long now = environment.now();
        if (controller != null) {
            lastSaturatedAt = host.saturated() ? now : lastSaturatedAt;
            controller.updateShares(pressure(), now);
            loadShedder.updateTable(controller.table(), now, now);
            logLimitingChange();
        } else if (host.leaderPeer() != null && !exchangeInFlight) {
            exchangeWith(host.leaderPeer());
        }
    }

    private BackPressure pressure() {
        if (host.backlogS() >= URGENT_ONLY_BACKLOG_S) {
            return BackPressure.KEY_VALUE_STORE;
        }
        return host.overloaded() ? BackPressure.LEADER : BackPressure.NONE;
    }

    private void logLimitingChange() {
        int nowClosed = controller.table().windows().size();
        if (nowClosed > 0 != limitedFlows > 0) {
            LOG.info(
                    "admission turns changed: closed_flows={} admissions_per_s={}",
                    nowClosed,
                    controller.capacityPerS());
        }
        limitedFlows = nowClosed;
    }

    /** A leader has work that nobody else can do; the others can take its users, as long as they exchange with it. */
    @Override
    public boolean shedsUsers() {
        long now = environment.now();
        return controller != null
                && now - lastSaturatedAt < SHED_USERS_MS
                && now - lastExchangeAt < config.tableValidityMs();
    }

    private void exchangeWith(Settings.Peer leader) {
        exchangeInFlight = true;
        long askedAt = environment.now();
        byte[] demand = AdmissionCodec.encode(loadShedder.demandReport(askedAt));
        environment.sendToPeer(leader, new PeerMessage.AdmissionExchange(demand), config.tableValidityMs(), record -> {
            exchangeInFlight = false;
            tableLeader = "";
            if (record instanceof PeerMessage.AdmissionExchange answer) {
                applyTable(leader, answer, askedAt);
            }
        });
    }

    private void applyTable(Settings.Peer leader, PeerMessage.AdmissionExchange answer, long askedAt) {
        try {
            loadShedder.observeTerm(host.term());
            loadShedder.updateTable(AdmissionCodec.decodeTable(answer.message()), askedAt, environment.now());
            tableLeader = leader.name();
        } catch (InvalidInputException e) {
            LOG.info("admission table invalid: leader={} reason={}", leader.name(), e.getMessage());
        }
    }

    @Override
    public PeerMessage exchange(PeerMessage.AdmissionExchange message) {
        if (controller == null) {
            return null;
        }
        try {
            controller.mergeDemand(AdmissionCodec.decodeDemand(message.message()), environment.now());
            lastExchangeAt = environment.now();
        } catch (InvalidInputException e) {
            LOG.info("admission demand invalid: reason={}", e.getMessage());
            return null;
        }
        return new PeerMessage.AdmissionExchange(AdmissionCodec.encode(controller.table()));
    }

    @Override
    public void elected(long term) {
        double ageS = loadShedder.tableAgeS(environment.now());
        controller = new AdmissionController(config, term, loadShedder.lastTable(), ageS);
        loadShedder.observeTerm(term);
    }

    @Override
    public void deposed() {
        controller = null;
    }

    // ---- submissions

    @Override
    public void admit(
            byte[] body, Consumer<PeerMessage.Response> reply, Consumer<Consumer<PeerMessage.Response>> passOn) {
        SubmissionHeader header = SubmissionHeader.read(body);
        Flow flow = flow(header);
        if (flow == null) {
            passOn.accept(reply); // it will be told what is wrong with it
            return;
        }
        int retryAfterS = retryAfterS(flow, header.id());
        if (retryAfterS > 0) {
            reply.accept(new PeerMessage.Response(503, retryAfterS, NOT_YET_ADMISSIBLE_BODY));
        } else {
            passOn.accept(answer -> reply.accept(recordOutcome(header.id(), answer)));
        }
    }

    private Flow flow(SubmissionHeader header) {
        return header == null
                ? null
                : config.flow(
                        header.team(), header.jobClass(), header.priority().ordinal());
    }

    private int retryAfterS(Flow flow, String id) {
        long now = environment.now();
        if (controller == null) {
            loadShedder.observeTerm(host.term());
            return loadShedder.retryAfterS(flow, id, now);
        }
        if (!host.mayAcceptChanges() || host.knowsJob(id)) {
            return 0;
        }
        boolean full = flow.priorityTier() > 0 && host.backlogS() >= URGENT_ONLY_BACKLOG_S;
        AdmissionDecision decision = full ? controller.defer(flow, id, now) : controller.decide(flow, id, now);
        return decision.retryAfterS();
    }

    /**
     * Remembers who was accepted; who is refused for an outage comes back later the longer it lasts, and not with all
     * others.
     */
    private PeerMessage.Response recordOutcome(String id, PeerMessage.Response answer) {
        if (answer.status() == 200 || answer.status() == 201) {
            loadShedder.recordAccepted(id);
        } else if (answer.status() == 503) {
            loadShedder.recordDeferred(id);
        }
        if (answer.status() == 503 && answer.retryAfterS() <= 1) {
            return new PeerMessage.Response(503, loadShedder.retryAfterFailureS(id, environment.now()), answer.body());
        }
        return answer;
    }

    /**
     * Status requests and cancellations that travel to the leader in batches cost hardly more to answer than to refuse,
     * and the number of batches bounds them.
     */
    @Override
    public int retryAfterS(PeerMessage.RequestKind kind, byte[] body) {
        if (kind != PeerMessage.RequestKind.SUBMIT) {
            return host.leaderPeer() != null && acceptsBatches(host.leaderPeer()) ? 0 : 1;
        }
        SubmissionHeader header = SubmissionHeader.read(body);
        if (header == null) {
            return 1;
        }
        boolean critical = header.priority() == JobSpec.Priority.CRITICAL;
        return critical ? 0 : loadShedder.retryAfterFailureS(header.id(), environment.now());
    }

    // ---- what goes to the leader

    @Override
    public boolean acceptsBatches(Settings.Peer leader) {
        return leader.name().equals(tableLeader);
    }

    @Override
    public void forward(
            Settings.Peer leader, PeerMessage.ForwardedRequest request, long patienceMs, Consumer<PeerMessage> reply) {
        RequestForwarder forwarder = request.kind() == PeerMessage.RequestKind.STATUS ? statusRequests : changeRequests;
        forwarder.send(leader, request, patienceMs, reply);
    }

    // ---- operators

    @Override
    public boolean describe(Consumer<PeerMessage.Response> reply) {
        totalsReader.read(read -> {
            if (read == null) {
                reply.accept(Responses.noLeader());
            } else {
                ObjectNode view = MessageCodec.map();
                view.set("totals", AdmissionTotalsReader.describe(read));
                view.set("here", AdmissionView.describe(loadShedder, controller, environment.now()));
                reply.accept(Responses.ok(200, view));
            }
        });
        return true;
    }
}
