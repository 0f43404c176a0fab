package stileferry.overload;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.admission.AdmissionCodec;
import stileferry.admission.AdmissionConfig;
import stileferry.admission.AdmissionController;
import stileferry.admission.AdmissionCounts;
import stileferry.admission.AdmissionDoor;
import stileferry.admission.Decision;
import stileferry.admission.DemandEstimate;
import stileferry.admission.Flow;
import stileferry.admission.Pressure;
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

    /** The share of the key-value store's changes that controllers allow themselves. */
    private static final double WRITE_SHARE = 0.85;

    /** Changes that each acceptance costs under load: its job's record, and the part of a count that others share. */
    private static final double CHANGES_EACH_ACCEPTANCE = 1.25;

    /** Accepted jobs that are remembered for each socket: users ask again over some of them at a time. */
    private static final int REMEMBERED_EACH_SOCKET = 2;

    /** Steps of the leader, and exchanges with it, in a heartbeat interval. */
    private static final int STEPS_EACH_REPORT = 2;

    /** Batches of questions, and of changes, that are in flight; changes wait until they are durable. */
    private static final int QUESTION_BATCHES = 2;

    private static final int CHANGE_BATCHES = 6;

    /** Seconds of the key-value store's rates that may wait before only the most urgent is accepted. */
    private static final double FULL_S = JobRequestHandler.MAX_BACKLOG_S * 0.75;

    /** A strained leader leaves users to the others for so long: half of the users' patience. */
    private static final long SHED_MS = Math.round(1000 * AdmissionConfig.PATIENCE_S / 2);

    private static final byte[] NOT_YOUR_TURN =
            MessageCodec.encode(UserMessages.error("too much is asked, come back then"));

    private final Environment environment;
    private final AdmissionConfig config;
    private final AdmissionDoor door;
    private final AdmissionTotalsReader totals;
    private final RequestForwarder questions;
    private final RequestForwarder changes;

    private Host host;
    private AdmissionController controller;
    private boolean exchanging;
    private long strainedAt = Long.MIN_VALUE / 2;
    private long exchangedAt = Long.MIN_VALUE / 2;
    private int closedFlows;

    /** The leader's name whose table this controller has; others are not sent batches. */
    private String tableOf = "";

    public FairAdmission(Settings settings, Environment environment, KeyValueStoreClient state) {
        this.environment = environment;
        this.config = config(settings);
        this.door = new AdmissionDoor(config, REMEMBERED_EACH_SOCKET * settings.maxSockets());
        this.totals = new AdmissionTotalsReader(state);
        this.questions = new RequestForwarder(environment, QUESTION_BATCHES);
        this.changes = new RequestForwarder(environment, CHANGE_BATCHES);
    }

    /** Weights are the teams' guarantees; who has none counts like the average of those who have one. */
    public static AdmissionConfig config(Settings settings) {
        double average = settings.teams().stream()
                .mapToDouble(Settings.Team::cpus)
                .filter(cpus -> cpus > 0)
                .average()
                .orElse(1);
        Map<String, Double> weights = new HashMap<>();
        settings.teams().forEach(team -> weights.put(team.name(), team.cpus() > 0 ? team.cpus() : average));
        long intervalMs = Math.max(1, Math.round(1000 * settings.workers().heartbeatIntervalS() / STEPS_EACH_REPORT));
        double mostPerS = settings.keyValueStore().writesPerS() * WRITE_SHARE / CHANGES_EACH_ACCEPTANCE;
        return new AdmissionConfig(weights, classes(settings), intervalMs, mostPerS);
    }

    /** The classes that the settings name. */
    private static Set<String> classes(Settings settings) {
        return settings.objectives().stream()
                .map(Settings.ServiceLevelObjective::jobClass)
                .filter(name -> !name.isEmpty())
                .collect(Collectors.toSet());
    }

    /**
     * Where a job's admission is counted: classes that the settings don't name are one, or users could make up any
     * number.
     */
    public static AdmissionCounts.Cell cell(Settings settings, JobSpec spec) {
        boolean named = classes(settings).contains(spec.jobClass());
        return new AdmissionCounts.Cell(spec.team(), named ? spec.jobClass() : AdmissionConfig.OTHER_CLASSES);
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
        door.learn(host.term());
        long now = environment.now();
        if (controller != null) {
            strainedAt = host.saturated() ? now : strainedAt;
            controller.step(pressure(), now);
            door.take(controller.table(), now, now);
            logClosed();
        } else if (host.leaderPeer() != null && !exchanging) {
            exchangeWith(host.leaderPeer());
        }
    }

    private Pressure pressure() {
        if (host.backlogS() >= FULL_S) {
            return Pressure.STATE_SERVICE;
        }
        return host.overloaded() ? Pressure.LEADER : Pressure.NONE;
    }

    private void logClosed() {
        int closed = controller.table().turns().size();
        if (closed > 0 != closedFlows > 0) {
            LOG.info("{} flows wait for their turns, {} admissions a second", closed, controller.capacityPerS());
        }
        closedFlows = closed;
    }

    /**
     * A leader has work that nobody else can do; the others can take its users, as long as they exchange with it.
     * Seen on overloaded days: a third of all polls went to a leader that was seconds late with its lease.
     */
    @Override
    public boolean shedsUsers() {
        long now = environment.now();
        return controller != null && now - strainedAt < SHED_MS && now - exchangedAt < config.validMs();
    }

    private void exchangeWith(Settings.Peer leader) {
        exchanging = true;
        long askedAt = environment.now();
        byte[] demand = AdmissionCodec.write(door.demand(askedAt));
        environment.sendToPeer(leader, new PeerMessage.AdmissionExchange(demand), config.validMs(), record -> {
            exchanging = false;
            tableOf = "";
            if (record instanceof PeerMessage.AdmissionExchange answer) {
                takeTable(leader, answer, askedAt);
            }
        });
    }

    private void takeTable(Settings.Peer leader, PeerMessage.AdmissionExchange answer, long askedAt) {
        try {
            door.learn(host.term());
            door.take(AdmissionCodec.readTable(answer.message()), askedAt, environment.now());
            tableOf = leader.name();
        } catch (InvalidInputException e) {
            LOG.info("a table that can't be right, from {}: {}", leader.name(), e.getMessage());
        }
    }

    @Override
    public PeerMessage exchange(PeerMessage.AdmissionExchange message) {
        if (controller == null) {
            return null;
        }
        try {
            controller.merge(AdmissionCodec.readDemand(message.message()), environment.now());
            exchangedAt = environment.now();
        } catch (InvalidInputException e) {
            LOG.info("a demand that can't be right: {}", e.getMessage());
            return null;
        }
        return new PeerMessage.AdmissionExchange(AdmissionCodec.write(controller.table()));
    }

    @Override
    public void elected(long term) {
        double ageS = door.tableAgeS(environment.now());
        controller = new AdmissionController(config, term, door.lastTable(), ageS);
        door.learn(term);
    }

    @Override
    public void deposed() {
        controller = null;
    }

    // ---- submissions

    @Override
    public void admit(
            byte[] body, Consumer<PeerMessage.Response> reply, Consumer<Consumer<PeerMessage.Response>> passOn) {
        SubmissionHeader head = SubmissionHeader.read(body);
        Flow flow = flow(head);
        if (flow == null) {
            passOn.accept(reply); // it will be told what is wrong with it
            return;
        }
        int retryAfterS = retryAfterS(flow, head.id());
        if (retryAfterS > 0) {
            reply.accept(new PeerMessage.Response(503, retryAfterS, NOT_YOUR_TURN));
        } else {
            passOn.accept(answer -> reply.accept(noted(head.id(), answer)));
        }
    }

    private Flow flow(SubmissionHeader head) {
        return head == null
                ? null
                : config.flow(head.team(), head.jobClass(), head.priority().ordinal());
    }

    private int retryAfterS(Flow flow, String id) {
        long now = environment.now();
        if (controller == null) {
            door.learn(host.term());
            return door.retryAfterS(flow, id, now);
        }
        if (!host.mayAcceptChanges() || host.knowsJob(id)) {
            return 0;
        }
        boolean full = flow.tier() > 0 && host.backlogS() >= FULL_S;
        Decision decision = full ? controller.postpone(flow, id, now) : controller.decide(flow, id, now);
        return decision.retryAfterS();
    }

    /**
     * Remembers who was accepted; who meets a trouble comes back later the longer it lasts, and not with all others.
     */
    private PeerMessage.Response noted(String id, PeerMessage.Response answer) {
        if (answer.status() == 200 || answer.status() == 201) {
            door.accepted(id);
        } else if (answer.status() == 503) {
            door.postponed(id);
        }
        if (answer.status() == 503 && answer.retryAfterS() <= 1) {
            return new PeerMessage.Response(503, door.retryAfterTroubleS(id, environment.now()), answer.body());
        }
        return answer;
    }

    /**
     * Questions and cancellations that travel to the leader in batches cost hardly more to answer than to refuse, and
     * the lanes bound them. Found on overloaded days: of 55,000 requests that met the limit, 44,000 were polls, and
     * users whose polls all met it for 75 s had no answer about their jobs.
     */
    /**
     * Questions and cancellations that travel to the leader in batches cost hardly more to answer than to refuse, and
     * the lanes bound them. Found on overloaded days: of 55,000 requests that met the limit, 44,000 were polls, and
     * users whose polls all met it for 75 s had no answer about their jobs.
     */
    @Override
    public int retryAfterS(PeerMessage.RequestKind ask, byte[] body) {
        if (ask != PeerMessage.RequestKind.SUBMIT) {
            return host.leaderPeer() != null && acceptsBatches(host.leaderPeer()) ? 0 : 1;
        }
        SubmissionHeader head = SubmissionHeader.read(body);
        if (head == null) {
            return 1;
        }
        boolean critical = head.priority() == JobSpec.Priority.CRITICAL;
        return critical ? 0 : door.retryAfterTroubleS(head.id(), environment.now());
    }

    // ---- what goes to the leader

    @Override
    public boolean acceptsBatches(Settings.Peer leader) {
        return leader.name().equals(tableOf);
    }

    @Override
    public void forward(
            Settings.Peer leader, PeerMessage.ForwardedRequest request, long patienceMs, Consumer<PeerMessage> reply) {
        RequestForwarder lane = request.kind() == PeerMessage.RequestKind.STATUS ? questions : changes;
        lane.send(leader, request, patienceMs, reply);
    }

    // ---- operators

    @Override
    public boolean describe(Consumer<PeerMessage.Response> reply) {
        totals.read(read -> {
            if (read == null) {
                reply.accept(Responses.noLeader());
            } else {
                ObjectNode view = MessageCodec.map();
                view.set("totals", AdmissionTotalsReader.describe(read));
                view.set("here", describeHere());
                reply.accept(Responses.ok(200, view));
            }
        });
        return true;
    }

    private ObjectNode describeHere() {
        long now = environment.now();
        ObjectNode view = MessageCodec.map()
                .put("leads", controller != null)
                .put("holds_table", door.holdsTable(now))
                .put("refused_at_door", door.refused());
        if (door.lastTable() != null) {
            view.put("table_term", door.lastTable().term())
                    .put("table_sequence", door.lastTable().sequence())
                    .put("table_age_s", door.tableAgeS(now))
                    .put("closed_flows", door.lastTable().turns().size());
        }
        if (controller != null) {
            view.put("capacity_per_s", controller.capacityPerS());
            describeFlows(view.putArray("flows"), now);
        }
        return view;
    }

    private void describeFlows(ArrayNode list, long now) {
        SortedMap<Flow, Double> shares = controller.shares();
        for (Map.Entry<Flow, DemandEstimate> waiting : controller.waiting(now).entrySet()) {
            Flow flow = waiting.getKey();
            list.addObject()
                    .put("team", flow.team())
                    .put("class", flow.jobClass())
                    .put("priority", JobSpec.Priority.values()[flow.tier()].wireName())
                    .put("waiting", waiting.getValue().waiting())
                    .put("waiting_least", waiting.getValue().lower())
                    .put("waiting_most", waiting.getValue().upper())
                    .put("share_per_s", shares.getOrDefault(flow, 0.0))
                    .put("admitted", controller.admitted(flow))
                    .put("refused", controller.refused(flow));
        }
    }
}
