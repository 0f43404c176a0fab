package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.Environment;
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
    private static final int WORKERS_REMEMBERED = 10_000;

    private final Settings settings;
    private final Environment environment;
    private final StateClient state;
    private final Leadership leadership;
    private final EndedJobCache ended = new EndedJobCache();
    private final Counters counters = new Counters();
    private final long reportMs;
    private final long leaseMs;
    private final long startedAt;
    private final LeaderlessRenewal leaderlessRenewal;
    private final EventLoopLag eventLoopLag;

    /** Workers that were sent to the leader: when, and to whom. */
    private final Cache<String, Sent> sentAway = CacheBuilder.newBuilder()
            .maximumSize(WORKERS_REMEMBERED)
            .concurrencyLevel(1)
            .build();

    private List<MachineType> types = List.of();
    private Leader leader;
    private long leaderSeenAt = Long.MIN_VALUE / 2;

    private record Sent(String leader, long at) {}

    /** A coordinator for one controller. */
    public Coordinator(Settings settings, Environment environment) {
        this.settings = settings;
        this.environment = environment;
        this.state = new StateClient(environment, settings);
        this.leadership = new Leadership(environment, state, settings, this);
        this.reportMs = Math.round(settings.workers().reportS() * 1000);
        this.leaseMs = Math.round(settings.workers().leaseS() * 1000);
        this.startedAt = environment.now();
        this.eventLoopLag = new EventLoopLag(environment, settings.workers().reportS());
        this.leaderlessRenewal = new LeaderlessRenewal(environment, leadership, settings.peers());
    }

    /** Begins to follow or run for the leadership. */
    public void start() {
        eventLoopLag.start();
        leadership.start();
        askTypes();
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
        leader = new Leader(settings, environment, state, leadership, ended, types, term, leaderRevision, eventLoopLag);
    }

    @Override
    public void deposed() {
        if (leader != null) {
            leader.close();
            leader = null;
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
        if (path.equals("counters")) {
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
        if (peer == null) {
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
                    answerReport(report, (status, answer) -> reply.accept(new PeerRecord.Answer(status, 0, answer)));
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
            answerReport(report, reply);
        } else {
            redirect(report, body, reply);
        }
    }

    private void answerReport(Report report, BiConsumer<Integer, byte[]> reply) {
        if (report.token() > leadership.term()) {
            leadership.learn(report.token(), "");
        }
        Consumer<byte[]> answered = answer -> {
            if (answer == null) {
                reply.accept(503, MessageCodec.encode(Messages.error("not entitled to answer this report")));
            } else {
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
            withoutLeader(report, reply);
            return;
        }
        long now = environment.now();
        Sent sent = sentAway.getIfPresent(report.machine());
        if (sent == null || !sent.leader.equals(peer.node()) || now - sent.at > 2 * leaseMs) {
            sentAway.put(report.machine(), new Sent(peer.node(), now));
            reply.accept(421, MessageCodec.encode(Messages.reportTo(peer.node())));
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
            reply.accept(leadership.hear(t));
        } else if (record instanceof PeerRecord.Forward f) {
            if (leader == null) {
                reply.accept(Users.unavailable());
            } else {
                lead(f.ask(), f.id(), f.body(), reply::accept);
            }
        } else {
            LOG.debug("a record that nobody asked for: {}", record);
            reply.accept(Users.unavailable());
        }
    }
}
