package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.heartbeat.EventLoopLag;
import stileferry.heartbeat.FollowerHeartbeats;
import stileferry.leadership.LeaderElection;
import stileferry.lifecycle.CompletedJobCache;
import stileferry.links.LinkHealth;
import stileferry.links.LinkMonitor;
import stileferry.overload.AdmissionControl;
import stileferry.overload.FairAdmission;
import stileferry.protocol.Environment;
import stileferry.protocol.Features;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.MachineType;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.OperatorSettings;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;
import stileferry.protocol.UserMessages;
import stileferry.requests.BatchResponder;
import stileferry.requests.RequestMetrics;
import stileferry.requests.Responses;
import stileferry.storage.KeyValueStoreClient;

/**
 * The single owner of one controller's state. Every method runs on the owner's turn; replies may come in a later
 * turn. Given the same calls and the same {@link Environment}, it does the same.
 */
public final class Coordinator implements LeaderElection.Listener {
    private static final Logger LOG = LoggerFactory.getLogger("coordinator");

    /** A node is ready for this long after it last saw a leader, so that a change of leader resets nobody. */
    private static final long READY_GRACE_MS = 8000;

    private static final long TYPES_MS = 60_000;

    private final Settings settings;
    private final Environment environment;
    private final KeyValueStoreClient state;
    private final LeaderElection leadership;
    private final CompletedJobCache ended;
    private final RequestMetrics counters = new RequestMetrics();
    private final LinkHealth links;
    private final AdmissionControl admission;
    private final EventLoopLag eventLoopLag;

    private final FollowerHeartbeats followerReports;
    private final LocalAdministration localAdministration;

    private List<MachineType> types = List.of();
    private Leader leader;
    private long leaderSeenAt = Long.MIN_VALUE / 2;

    /** A coordinator for one controller, without optional parts. */
    public Coordinator(Settings settings, Environment environment) {
        this(settings, Features.NONE, environment);
    }

    /** A coordinator for one controller. */
    public Coordinator(Settings settings, Features features, Environment plain) {
        this.settings = settings;
        this.ended = new CompletedJobCache(settings.maxSockets());
        this.links = features.partialCuts()
                ? new LinkMonitor(settings, plain, LeaderElection.leaseDurationMs(settings))
                : LinkHealth.NONE;
        this.environment = links.observedEnvironment(plain);
        this.state = new KeyValueStoreClient(environment, settings);
        this.admission =
                features.fairAdmission() ? new FairAdmission(settings, environment, state) : AdmissionControl.NONE;
        this.leadership = new LeaderElection(environment, state, settings, this, links, admission.counts());
        this.eventLoopLag = new EventLoopLag(environment, settings.workers().heartbeatIntervalS());
        this.followerReports = new FollowerHeartbeats(
                settings, environment, leadership, links, (report, reply) -> answerReport(report, false, reply));
        this.localAdministration = new LocalAdministration(
                settings.controllerName(), leadership, links, admission, counters, eventLoopLag);
    }

    /** Begins to follow or run for the leadership. */
    public void start() {
        eventLoopLag.start();
        leadership.start();
        askTypes();
        links.start(new LinkHost());
        admission.start(new AdmissionHost());
    }

    private void askTypes() {
        environment.request(settings.cloudAddress(), "GET", "/machine_types", null, 5000, (status, body) -> {
            List<MachineType> read = status == 200 && body != null ? MachineType.readAll(body) : List.of();
            if (!read.isEmpty()) {
                types = read;
                if (leader != null) {
                    leader.types(read);
                }
            }
            environment.schedule(
                    types.isEmpty() ? 1000 + environment.random().nextLong(1000) : TYPES_MS, this::askTypes);
        });
    }

    @Override
    public void elected(long term, long leaderRevision) {
        leader = new Leader(
                settings, environment, state, leadership, ended, types, term, leaderRevision, eventLoopLag, links);
        admission.elected(term);
        links.elected(term, leader::changesInFlight);
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
    public void operatorSettings(JsonNode stored) {
        environment.setLogLevel(OperatorSettings.read(stored).text(OperatorSettings.LOG_LEVEL));
    }

    /** Called after each batch of commands. */
    public void endOfBatch() {
        if (leader != null) {
            leader.endOfTurn();
        }
    }

    /** Whether users should be sent here: a leader is, or was just now, within reach. */
    public boolean ready() {
        long now = environment.now();
        if (leader != null && leader.active()) {
            leaderSeenAt = now;
        } else if (leadership.leaderPeer() != null) {
            leaderSeenAt = Math.max(leaderSeenAt, leadership.leaderLastHeardAt());
        }
        return now - leaderSeenAt < READY_GRACE_MS && !admission.shedsUsers();
    }

    /** What is known of the links. */
    LinkHealth links() {
        return links;
    }

    /** Whether this node leads. */
    public boolean leads() {
        return leader != null;
    }

    // ---- users

    /** Takes a user's request: here when this node leads, else by way of the leader. */
    public void handleUserRequest(
            PeerMessage.RequestKind ask, String id, byte[] body, Consumer<PeerMessage.Response> reply) {
        long since = environment.now();
        pass(ask, id, body, answer -> {
            long took = environment.now() - since;
            counters.count(ask, answer.status(), took);
            if (ask == PeerMessage.RequestKind.SUBMIT) {
                LOG.debug(
                        "a submission was answered {} after {} ms, led by {}",
                        answer.status(),
                        took,
                        leadership.leader());
            }
            reply.accept(answer);
        });
    }

    /** Takes an operator's request; the path is what follows the prefix, with its query. */
    public void handleAdministrationRequest(
            String method, String path, byte[] body, Consumer<PeerMessage.Response> reply) {
        if (!localAdministration.answers(method, path, reply)) {
            handleUserRequest(PeerMessage.RequestKind.ADMINISTRATION, method + " " + path, body, reply);
        }
    }

    private void pass(PeerMessage.RequestKind ask, String id, byte[] body, Consumer<PeerMessage.Response> reply) {
        if (leader != null) {
            lead(ask, id, body, reply);
            return;
        }
        Settings.Peer peer = leadership.leaderPeer();
        if (peer == null || links.peerUnreachable(peer.name())) {
            reply.accept(Responses.unavailable());
            return;
        }
        if (ask == PeerMessage.RequestKind.SUBMIT) {
            admission.submit(body, reply, answer -> forward(peer, ask, id, body, answer));
        } else {
            forward(peer, ask, id, body, reply);
        }
    }

    private void forward(
            Settings.Peer peer,
            PeerMessage.RequestKind ask,
            String id,
            byte[] body,
            Consumer<PeerMessage.Response> reply) {
        // shorter than the users' own patience: 2 s for a question, 5 s for a change
        long patience = ask == PeerMessage.RequestKind.STATUS ? 1500 : 4000;
        PeerMessage.ForwardedRequest request = new PeerMessage.ForwardedRequest(ask, id, body);
        Consumer<PeerMessage> answered = answer ->
                reply.accept(answer instanceof PeerMessage.Response response ? response : Responses.unavailable());
        if (ask != PeerMessage.RequestKind.ADMINISTRATION && admission.batches(peer)) {
            admission.forward(peer, request, patience, answered);
        } else {
            environment.sendToPeer(peer, request, patience, answered);
        }
    }

    /** Seconds after which a request that met the limit on requests in progress is worth a try; 0: it may pass it. */
    public int retryAfterS(PeerMessage.RequestKind ask, byte[] body) {
        return admission.retryAfterS(ask, body);
    }

    private void lead(PeerMessage.RequestKind ask, String id, byte[] body, Consumer<PeerMessage.Response> reply) {
        switch (ask) {
            case SUBMIT ->
                admission.submit(body, reply, answer -> leader.users().submit(body, answer));
            case STATUS -> leader.users().status(id, reply);
            case CANCEL -> leader.users().withdraw(id, reply);
            case ADMINISTRATION -> {
                String[] parts = id.split("[ ?]", 3);
                String from = parts.length > 2 && parts[2].startsWith("from=") ? parts[2].substring(5) : "";
                leader.admin(parts[0], parts.length > 1 ? parts[1] : "", from, body, reply);
            }
            case HEARTBEAT -> {
                Heartbeat report = Heartbeat.read(body, leader::lastReport);
                if (report == null) {
                    reply.accept(Responses.refusal(400, "not a report"));
                } else {
                    answerReport(
                            report,
                            true,
                            (status, answer) -> reply.accept(new PeerMessage.Response(status, 0, answer)));
                }
            }
        }
    }

    // ---- workers

    /** Takes a worker's report. */
    public void handleHeartbeat(byte[] body, BiConsumer<Integer, byte[]> reply) {
        Heartbeat report = leader == null ? Heartbeat.read(body) : Heartbeat.read(body, leader::lastReport);
        if (report == null) {
            reply.accept(400, MessageCodec.encode(UserMessages.error("not a report")));
        } else if (leader != null) {
            answerReport(report, false, reply);
        } else {
            links.heartbeatReceived(report);
            followerReports.receive(report, body, reply);
        }
    }

    private void answerReport(Heartbeat report, boolean relayed, BiConsumer<Integer, byte[]> reply) {
        if (report.fencingToken() > leadership.term()) {
            leadership.observeTerm(report.fencingToken(), "");
        }
        Consumer<byte[]> answered = answer -> {
            if (answer == null) {
                reply.accept(503, MessageCodec.encode(UserMessages.error("not entitled to answer this report")));
            } else {
                links.heartbeatAnswered(report, relayed);
                reply.accept(200, answer);
            }
        };
        if (leader == null) {
            answered.accept(null);
        } else {
            leader.report(report, answered);
        }
    }

    // ---- other controllers

    /** Takes a record from another controller. */
    public void handlePeerMessage(PeerMessage record, Consumer<PeerMessage> reply) {
        if (record instanceof PeerMessage.TermAnnouncement announcement) {
            if (announcement.leading()) {
                links.announcementReceived(announcement.leader(), announcement);
            }
            reply.accept(leadership.receive(announcement));
        } else if (record instanceof PeerMessage.ForwardedRequest request) {
            leadOrRefuse(request, reply::accept);
        } else if (record instanceof PeerMessage.RequestBatch batch && leader != null) {
            BatchResponder.to(batch.requests(), environment, this::leadOrRefuse, reply);
        } else if (record instanceof PeerMessage.AdmissionExchange exchange) {
            PeerMessage answer = admission.exchange(exchange);
            reply.accept(answer == null ? Responses.unavailable() : answer);
        } else if (record instanceof PeerMessage.LinkView linkView) {
            PeerMessage answer = links.receiveView(linkView);
            reply.accept(answer == null ? Responses.unavailable() : answer);
        } else {
            LOG.debug("a record that nobody asked for: {}", record);
            reply.accept(Responses.unavailable());
        }
    }

    private void leadOrRefuse(PeerMessage.ForwardedRequest request, Consumer<PeerMessage.Response> reply) {
        if (leader == null) {
            reply.accept(Responses.unavailable());
        } else {
            lead(request.kind(), request.id(), request.body(), reply);
        }
    }

    /** What the division of admissions calls. */
    private final class AdmissionHost implements AdmissionControl.Host {
        @Override
        public boolean promising() {
            return leader != null && leader.promising();
        }

        @Override
        public long term() {
            return leadership.term();
        }

        @Override
        public Settings.Peer leaderPeer() {
            return leadership.leaderPeer();
        }

        @Override
        public boolean knows(String id) {
            return leader != null && leader.knows(id);
        }

        @Override
        public double backlogS() {
            return leader == null ? 0 : leader.users().backlogS();
        }

        @Override
        public boolean behind() {
            return eventLoopLag.overloaded();
        }

        @Override
        public boolean strained() {
            return eventLoopLag.saturated();
        }
    }

    /** What the watching of links calls. */
    private final class LinkHost implements LinkHealth.Host {
        @Override
        public boolean leading() {
            return leadership.leading();
        }

        @Override
        public long term() {
            return leadership.term();
        }

        @Override
        public String leader() {
            return leadership.leader();
        }

        @Override
        public void observeTerm(long term, String name) {
            leadership.observeTerm(term, name);
        }

        @Override
        public void probeStore() {
            state.get(LeaderElection.TERM_KEY, result -> {});
        }

        @Override
        public void releaseLeadership() {
            leadership.resign();
        }

        @Override
        public long eventLoopLagMs() {
            return eventLoopLag.lagMs();
        }

        @Override
        public boolean behind() {
            return eventLoopLag.overloaded();
        }
    }
}
