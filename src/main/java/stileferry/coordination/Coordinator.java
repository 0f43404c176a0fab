package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.Environment;
import stileferry.protocol.Features;
import stileferry.protocol.MachineType;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.Messages;
import stileferry.protocol.Options;
import stileferry.protocol.PeerRecord;
import stileferry.protocol.Report;
import stileferry.protocol.Settings;
import stileferry.storage.StateClient;

/**
 * The single owner of one controller's state. Every method runs on the owner's turn; replies may come in a later
 * turn. Given the same calls and the same {@link Environment}, it does the same.
 */
public final class Coordinator implements Leadership.Listener {
    private static final Logger LOG = LoggerFactory.getLogger("coordinator");

    /** A node is ready for this long after it last saw a leader, so that a change of leader resets nobody. */
    private static final long READY_GRACE_MS = 8000;

    private static final long TYPES_MS = 60_000;

    /** A report waits this long at most for a new leader that is about to be known: half of its worker's patience. */
    private static final long NEW_LEADER_MS = 2000;

    private static final long NEW_LEADER_LOOK_MS = 50;

    private final Settings settings;
    private final Environment environment;
    private final StateClient state;
    private final Leadership leadership;
    private final EndedJobCache ended;
    private final Counters counters = new Counters();
    private final long reportMs;
    private final long leaseMs;
    private final long startedAt;
    private final LeaderlessRenewal leaderlessRenewal;
    private final LinkAwareness links;
    private final EventLoopLag eventLoopLag;

    private final WorkerRedirects redirects;

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
        this.ended = new EndedJobCache(settings.maxSockets());
        this.links = features.partialCuts() ? new PartialCuts(settings, plain) : LinkAwareness.NONE;
        this.environment = links.environment(plain);
        this.state = new StateClient(environment, settings);
        this.leadership = new Leadership(environment, state, settings, this, links);
        this.reportMs = Math.round(settings.workers().reportS() * 1000);
        this.leaseMs = Math.round(settings.workers().leaseS() * 1000);
        this.startedAt = environment.now();
        this.eventLoopLag = new EventLoopLag(environment, settings.workers().reportS());
        this.redirects = new WorkerRedirects(settings, environment, links);
        this.leaderlessRenewal = new LeaderlessRenewal(environment, leadership, settings.peers());
    }

    /** Begins to follow or run for the leadership. */
    public void start() {
        eventLoopLag.start();
        leadership.start();
        askTypes();
        links.start(new LinkHost());
    }

    private void askTypes() {
        environment.call(settings.cloudAddr(), "GET", "/machine_types", null, 5000, (status, body) -> {
            List<MachineType> read = status == 200 && body != null ? MachineType.readAll(body) : List.of();
            if (!read.isEmpty()) {
                types = read;
                if (leader != null) {
                    leader.types(read);
                }
            }
            environment.after(types.isEmpty() ? 1000 + environment.random().nextLong(1000) : TYPES_MS, this::askTypes);
        });
    }

    @Override
    public void elected(long term, long leaderRevision) {
        leader = new Leader(
                settings, environment, state, leadership, ended, types, term, leaderRevision, eventLoopLag, links);
        links.elected(term, leader::changesInFlight);
    }

    @Override
    public void deposed() {
        if (leader != null) {
            leader.close();
            leader = null;
            links.deposed();
        }
    }

    @Override
    public void options(JsonNode stored) {
        environment.logLevel(Options.read(stored).text(Options.LOG_LEVEL));
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
            leaderSeenAt = Math.max(leaderSeenAt, leadership.leaderHeardAt());
        }
        return now - leaderSeenAt < READY_GRACE_MS;
    }

    /** What is known of the links. */
    LinkAwareness links() {
        return links;
    }

    /** Whether this node leads. */
    public boolean leads() {
        return leader != null;
    }

    // ---- users

    /** Takes a user's request: here when this node leads, else by way of the leader. */
    public void user(PeerRecord.Ask ask, String id, byte[] body, Consumer<PeerRecord.Answer> reply) {
        long since = environment.now();
        pass(ask, id, body, answer -> {
            long took = environment.now() - since;
            counters.count(ask, answer.status(), took);
            if (ask == PeerRecord.Ask.SUBMIT) {
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
    public void admin(String method, String path, byte[] body, Consumer<PeerRecord.Answer> reply) {
        if (path.equals("links")) {
            ObjectNode view = links.describe();
            if (view == null) {
                reply.accept(Users.refusal(404, "links: partial_cuts is off"));
            } else {
                Admin.view(method.equals("GET"), () -> view, reply);
            }
        } else if (path.equals("counters")) {
            Admin.view(
                    method.equals("GET"),
                    () -> counters.describe()
                            .put("node", settings.node())
                            .put("leader", leadership.leader())
                            .put("term", leadership.term())
                            .put("late_ms", eventLoopLag.lateMs())
                            .put("most_late_ms", eventLoopLag.mostLateMs()),
                    reply);
        } else {
            user(PeerRecord.Ask.ADMIN, method + " " + path, body, reply);
        }
    }

    private void pass(PeerRecord.Ask ask, String id, byte[] body, Consumer<PeerRecord.Answer> reply) {
        if (leader != null) {
            lead(ask, id, body, reply);
            return;
        }
        Settings.Peer peer = leadership.leaderPeer();
        if (peer == null || links.unreachable(peer.node())) {
            reply.accept(Users.unavailable());
            return;
        }
        // shorter than the users' own patience: 2 s for a question, 5 s for a change
        long patience = ask == PeerRecord.Ask.STATUS ? 1500 : 4000;
        environment.peer(
                peer,
                new PeerRecord.Forward(ask, id, body),
                patience,
                answer -> reply.accept(answer instanceof PeerRecord.Answer a ? a : Users.unavailable()));
    }

    private void lead(PeerRecord.Ask ask, String id, byte[] body, Consumer<PeerRecord.Answer> reply) {
        switch (ask) {
            case SUBMIT -> leader.users().submit(body, reply);
            case STATUS -> leader.users().status(id, reply);
            case WITHDRAW -> leader.users().withdraw(id, reply);
            case ADMIN -> {
                String[] parts = id.split("[ ?]", 3);
                String from = parts.length > 2 && parts[2].startsWith("from=") ? parts[2].substring(5) : "";
                leader.admin(parts[0], parts.length > 1 ? parts[1] : "", from, body, reply);
            }
            case REPORT -> {
                Report report = Report.read(body, leader::lastReport);
                if (report == null) {
                    reply.accept(Users.refusal(400, "not a report"));
                } else {
                    answerReport(
                            report, true, (status, answer) -> reply.accept(new PeerRecord.Answer(status, 0, answer)));
                }
            }
        }
    }

    // ---- workers

    /** Takes a worker's report. */
    public void report(byte[] body, BiConsumer<Integer, byte[]> reply) {
        Report report = leader == null ? Report.read(body) : Report.read(body, leader::lastReport);
        if (report == null) {
            reply.accept(400, MessageCodec.encode(Messages.error("not a report")));
        } else if (leader != null) {
            answerReport(report, false, reply);
        } else {
            links.reported(report);
            redirectOrWait(report, body, environment.now() + NEW_LEADER_MS, reply);
        }
    }

    /**
     * Found with cuts of links: a worker that came here while the leadership was being handed over was sent to the
     * former leader, which it could not reach, and its lease lapsed meanwhile.
     */
    private void redirectOrWait(Report report, byte[] body, long until, BiConsumer<Integer, byte[]> reply) {
        Settings.Peer peer = leadership.leaderPeer();
        if (leader != null) {
            answerReport(report, false, reply);
        } else if (peer != null && links.leavesOffice(peer.node()) && environment.now() < until) {
            environment.after(NEW_LEADER_LOOK_MS, () -> redirectOrWait(report, body, until, reply));
        } else {
            redirect(report, body, reply);
        }
    }

    private void answerReport(Report report, boolean relayed, BiConsumer<Integer, byte[]> reply) {
        if (report.token() > leadership.term()) {
            leadership.learn(report.token(), "");
        }
        Consumer<byte[]> answered = answer -> {
            if (answer == null) {
                reply.accept(503, MessageCodec.encode(Messages.error("not entitled to answer this report")));
            } else {
                links.answered(report, relayed);
                reply.accept(200, answer);
            }
        };
        if (leader == null) {
            answered.accept(null);
        } else {
            leader.report(report, answered);
        }
    }

    /** Names the leader; a worker that comes back all the same can't reach it, so its report is passed on. */
    private void redirect(Report report, byte[] body, BiConsumer<Integer, byte[]> reply) {
        Settings.Peer peer = leadership.leaderPeer();
        if (peer == null) {
            sendToHintedLeader(report, reply);
            return;
        }
        if (redirects.sendsAway(report.machine(), peer.node())) {
            reply.accept(421, MessageCodec.encode(Messages.reportTo(peer.node())));
        } else {
            passOn(report, body, peer, reply);
        }
    }

    private void passOn(Report report, byte[] body, Settings.Peer peer, BiConsumer<Integer, byte[]> reply) {
        if (links.unreachable(peer.node())) {
            withoutLeader(report, reply);
            return;
        }
        environment.peer(
                peer,
                new PeerRecord.Forward(PeerRecord.Ask.REPORT, report.machine(), body),
                Math.min(3000, reportMs),
                answer -> {
                    if (answer instanceof PeerRecord.Answer a) {
                        reply.accept(a.status(), a.body());
                    } else {
                        withoutLeader(report, reply);
                    }
                });
    }

    /** This node can't tell who leads, as it reaches neither the state service nor the leader; others may. */
    private void sendToHintedLeader(Report report, BiConsumer<Integer, byte[]> reply) {
        String hinted = links.hintedLeader(leadership.term());
        if (hinted.isEmpty()) {
            withoutLeader(report, reply);
        } else {
            reply.accept(421, MessageCodec.encode(Messages.reportTo(hinted)));
        }
    }

    /** Nobody to send a worker to: for a short time that is no matter, later its lease has to be kept alive. */
    private void withoutLeader(Report report, BiConsumer<Integer, byte[]> reply) {
        if (leader == null && environment.now() - Math.max(startedAt, leadership.leaderHeardAt()) > leaseMs / 8) {
            leaderlessRenewal.take(report, reply);
        } else {
            reply.accept(503, MessageCodec.encode(Messages.error("no leader known")));
        }
    }

    // ---- other controllers

    /** Takes a record from another controller. */
    public void peer(PeerRecord record, Consumer<PeerRecord> reply) {
        if (record instanceof PeerRecord.Term t) {
            if (t.leading()) {
                links.learn(t.leader(), t);
            }
            reply.accept(leadership.hear(t));
        } else if (record instanceof PeerRecord.Forward f) {
            if (leader == null) {
                reply.accept(Users.unavailable());
            } else {
                lead(f.ask(), f.id(), f.body(), reply::accept);
            }
        } else if (record instanceof PeerRecord.Links l) {
            PeerRecord answer = links.exchange(l);
            reply.accept(answer == null ? Users.unavailable() : answer);
        } else {
            LOG.debug("a record that nobody asked for: {}", record);
            reply.accept(Users.unavailable());
        }
    }

    /** What the watching of links calls. */
    private final class LinkHost implements LinkAwareness.Host {
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
        public void learn(long term, String name) {
            leadership.learn(term, name);
        }

        @Override
        public void askStore() {
            state.get(Leadership.TERM_KEY, (status, body) -> {});
        }

        @Override
        public void release() {
            leadership.resign();
        }

        @Override
        public long lateMs() {
            return eventLoopLag.lateMs();
        }

        @Override
        public boolean behind() {
            return eventLoopLag.behind();
        }
    }
}
