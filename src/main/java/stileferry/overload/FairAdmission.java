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
import stileferry.requests.RequestForwarder;
import stileferry.requests.RequestForwarder.BatchEnd;
import stileferry.requests.Responses;
import stileferry.storage.KeyValueStoreClient;
import stileferry.validation.InvalidInputException;

/**
 * Fair admission at one controller: decides about submissions while this controller leads, and otherwise rejects them
 * by the leader's last table of admission windows (docs/admission.md).
 */
public final class FairAdmission implements AdmissionControl {
    private static final Logger LOG = LoggerFactory.getLogger("admission");

    /** Accepted jobs that are remembered per socket; users repeat requests over some of the sockets at a time. */
    private static final int REMEMBERED_JOBS_PER_SOCKET = 2;

    /** Maximum number of batches of status requests in flight. */
    private static final int MAX_STATUS_BATCHES = 2;

    /** Maximum number of batches of other requests in flight; these last until a change is durable. */
    private static final int MAX_CHANGE_BATCHES = 6;

    /** The backlog of the key-value store, in seconds, from which only jobs of the most urgent tier are accepted. */
    private static final double URGENT_ONLY_BACKLOG_S = JobRequestHandler.MAX_BACKLOG_S * 0.75;

    /** How long a leader sheds users after it was last saturated: half of the clients' retry timeout. */
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

    /** The leader that replied to the last exchange with a valid table, or empty; only this leader is sent batches. */
    private String tableLeader = "";

    /** Creates the fair admission of one controller; {@link #start} begins the periodic work. */
    public FairAdmission(Settings settings, Environment environment, KeyValueStoreClient store) {
        this.environment = environment;
        this.config = AdmissionSettings.config(settings);
        this.loadShedder = new LoadShedder(config, REMEMBERED_JOBS_PER_SOCKET * settings.maxSockets());
        this.totalsReader = new AdmissionTotalsReader(store);
        this.statusRequests = new RequestForwarder(environment, MAX_STATUS_BATCHES, BatchEnd.OLDEST_REQUEST);
        this.changeRequests = new RequestForwarder(environment, MAX_CHANGE_BATCHES, BatchEnd.OLDEST_REQUEST);
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
            controller.updateShares(backPressure(), now);
            loadShedder.updateTable(controller.table(), now, now);
            logLimitingChange();
        } else if (host.leaderPeer() != null && !exchangeInFlight) {
            exchangeWith(host.leaderPeer());
        }
    }

    private BackPressure backPressure() {
        if (host.backlogS() >= URGENT_ONLY_BACKLOG_S) {
            return BackPressure.KEY_VALUE_STORE;
        }
        return host.overloaded() ? BackPressure.LEADER : BackPressure.NONE;
    }

    private void logLimitingChange() {
        int nowLimited = controller.table().windows().size();
        if (nowLimited > 0 != limitedFlows > 0) {
            LOG.info(
                    "admission rate limiting changed: closed_flows={} admissions_per_s={}",
                    nowLimited,
                    controller.capacityPerS());
        }
        limitedFlows = nowLimited;
    }

    /**
     * A leader has work that no other controller can do; the others can serve its users while they exchange with it.
     */
    @Override
    public boolean shedsUsers() {
        long now = environment.now();
        return controller != null
                && now - lastSaturatedAt < SHED_USERS_MS
                && now - lastExchangeAt < config.tableValidityMs();
    }

    private void exchangeWith(Settings.Peer leader) {
        exchangeInFlight = true;
        long requestedAt = environment.now();
        byte[] demand = AdmissionCodec.encode(loadShedder.demandReport(requestedAt));
        environment.sendToPeer(leader, new PeerMessage.AdmissionExchange(demand), config.tableValidityMs(), message -> {
            exchangeInFlight = false;
            tableLeader = "";
            if (message instanceof PeerMessage.AdmissionExchange response) {
                applyTable(leader, response, requestedAt);
            }
        });
    }

    private void applyTable(Settings.Peer leader, PeerMessage.AdmissionExchange response, long requestedAt) {
        try {
            loadShedder.observeTerm(host.term());
            loadShedder.updateTable(AdmissionCodec.decodeTable(response.message()), requestedAt, environment.now());
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
            byte[] body, Consumer<PeerMessage.Response> reply, Consumer<Consumer<PeerMessage.Response>> next) {
        SubmissionHeader header = SubmissionHeader.read(body);
        Flow flow = flow(header);
        if (flow == null) {
            next.accept(reply); // malformed, or of an unknown team: the request handler answers with the reason
            return;
        }
        int retryAfterS = retryAfterS(flow, header.id());
        if (retryAfterS > 0) {
            reply.accept(new PeerMessage.Response(503, retryAfterS, NOT_YET_ADMISSIBLE_BODY));
        } else {
            next.accept(response -> reply.accept(recordOutcome(header.id(), response)));
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
        boolean backlogFull = flow.priorityTier() > 0 && host.backlogS() >= URGENT_ONLY_BACKLOG_S;
        AdmissionDecision decision = backlogFull ? controller.defer(flow, id, now) : controller.decide(flow, id, now);
        return decision.retryAfterS();
    }

    /**
     * Records whether a submission was accepted or deferred. One that failed because of an outage gets a retry time
     * that grows with the outage and differs between jobs, so that clients do not retry all at once.
     */
    private PeerMessage.Response recordOutcome(String id, PeerMessage.Response response) {
        if (response.status() == 200 || response.status() == 201) {
            loadShedder.recordAccepted(id);
        } else if (response.status() == 503) {
            loadShedder.recordDeferred(id);
        }
        if (response.status() == 503 && response.retryAfterS() <= 1) {
            return new PeerMessage.Response(
                    503, loadShedder.retryAfterFailureS(id, environment.now()), response.body());
        }
        return response;
    }

    /**
     * Status requests and cancellations that are forwarded in batches cost hardly more to respond to than to reject,
     * and the number of batches in flight bounds them.
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

    // ---- forwarding to the leader

    @Override
    public boolean acceptsBatches(Settings.Peer leader) {
        return leader.name().equals(tableLeader);
    }

    @Override
    public void forward(
            Settings.Peer leader, PeerMessage.ForwardedRequest request, long timeoutMs, Consumer<PeerMessage> reply) {
        RequestForwarder forwarder = request.kind() == PeerMessage.RequestKind.STATUS ? statusRequests : changeRequests;
        if (!forwarder.send(leader, request, timeoutMs, reply)) {
            reply.accept(null);
        }
    }

    // ---- administration

    @Override
    public boolean describe(Consumer<PeerMessage.Response> reply) {
        totalsReader.read(totals -> {
            if (totals == null) {
                reply.accept(Responses.noLeader());
            } else {
                ObjectNode view = MessageCodec.map();
                view.set("totals", AdmissionTotalsReader.describe(totals));
                view.set("here", AdmissionView.describe(loadShedder, controller, environment.now()));
                reply.accept(Responses.ok(200, view));
            }
        });
        return true;
    }
}
