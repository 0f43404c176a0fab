package stileferry.leadership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;
import stileferry.protocol.WorkerCommand;

/**
 * Cancelled jobs as this process knows them, and how far its knowledge goes. A controller that renews workers' leases
 * without being sure to lead must know every cancellation that another one may have confirmed, or tasks of cancelled
 * jobs would outlive {@code cancel_s} on the leases that it renews.
 *
 * <p>Of n processes, a leader confirms a cancellation to a user only when it and n/2 others know it. A process counts
 * as informed once a leader that was sure told it every cancellation since the process began. An informed process
 * does not know a cancellation only if it was not among those told; so n - n/2 informed processes together know all
 * of them (docs/design.md, "Cancellations"). Only processes that say that they keep this count.
 */
public final class CancellationQuorum {
    /** Jobs are remembered for so many times as long as their tasks may last after the last that was heard of them. */
    private static final int REMEMBERED = 2;

    private final Environment environment;
    private final long process;
    private final long rememberedMs;

    /** The jobs, and when each was last heard of, the latest last. */
    private final Map<String, Long> known = new LinkedHashMap<>();

    private final Peer[] peers;
    private boolean informed;

    // of the term in which this node leads

    /** Jobs whose cancellation is durable and whose tasks may be on machines, with what waits for others to know. */
    private final Map<String, Confirmation> standing = new LinkedHashMap<>();

    private boolean complete;

    /** What was heard from another controller, in this node's term where it leads. */
    private static final class Peer {
        long process;
        boolean informed;

        /** In this term: it answered, and with which form of record. */
        boolean answered;

        boolean tells;

        /** When it was asked last of all times at which it answered, informed, that it knows of no higher term. */
        long affirmedAt = -1;
    }

    private static final class Confirmation {
        final Set<Integer> toldTo = new LinkedHashSet<>();
        Runnable then;

        Confirmation(Runnable then) {
            this.then = then;
        }
    }

    CancellationQuorum(Environment environment, Settings settings) {
        this.environment = environment;
        this.process = 1 + environment.random().nextLong(Long.MAX_VALUE - 1);
        this.peers = new Peer[settings.peers().size()];
        for (int i = 0; i < peers.length; i++) {
            peers[i] = new Peer();
        }
        this.rememberedMs = Math.round(1000
                * REMEMBERED
                * (settings.workers().cancelS() + settings.workers().leaseS()));
    }

    /** Processes that must be informed for all of them together to know every cancellation. */
    static int enough(int processes) {
        return processes - processes / 2;
    }

    // ---- what is known

    /** Takes in that a job's cancellation is durable. */
    public void addCancelled(String id) {
        known.remove(id);
        known.put(id, environment.now());
    }

    /** Stops for the tasks of cancelled jobs that a report tells of. */
    public List<WorkerCommand> killCommandsFor(Heartbeat report) {
        List<WorkerCommand> stops = new ArrayList<>();
        for (Heartbeat.TaskStatus status : report.tasks()) {
            int slash = status.taskId().indexOf('/');
            if (status.phase() != Heartbeat.TaskPhase.EXITED
                    && slash > 0
                    && known.containsKey(status.taskId().substring(0, slash))) {
                stops.add(new WorkerCommand(WorkerCommand.Kind.KILL, status.taskId(), status.attempt(), 0));
            }
        }
        return stops;
    }

    /** Whether this process and what others said in this node's term hold every cancellation before this term. */
    public boolean knowsEarlierCancellations() {
        int count = informed ? 1 : 0;
        for (Peer peer : peers) {
            count += peer.answered && peer.informed ? 1 : 0;
        }
        return count >= enough(peers.length + 1);
    }

    boolean informed() {
        return informed;
    }

    /**
     * Until when it is certain that no later leader has confirmed anything: enough informed processes knew of none. A
     * later leader confirms only what n/2 others know, and whoever knows it has heard of its term.
     */
    long nothingMissedUntil() {
        int others = enough(peers.length + 1) - 1;
        if (!informed) {
            return -1;
        }
        if (others == 0) {
            return environment.now();
        }
        long[] affirmed =
                Arrays.stream(peers).mapToLong(p -> p.affirmedAt).sorted().toArray();
        return affirmed[affirmed.length - others];
    }

    // ---- leading

    /** This node leads from now on; what it must know it has yet to read. */
    void begin() {
        end();
        for (Peer peer : peers) {
            peer.answered = false;
            peer.tells = false;
            peer.informed = false;
            peer.affirmedAt = -1;
        }
    }

    /** All cancelled jobs have been read and were handed over by {@link #confirm}. */
    public void allCancelledJobsRead() {
        informed = true;
        complete = true;
    }

    /** This node no longer leads; nothing that waits is confirmed. */
    void end() {
        complete = false;
        standing.clear();
    }

    /** Tells others of a job whose cancellation is durable; the action runs when enough of them know. */
    void confirm(String id, Runnable then) {
        addCancelled(id);
        standing.put(id, new Confirmation(then));
        confirmed(id);
    }

    /** No task of this job is on a machine any more. */
    public void allTasksGone(String id) {
        standing.remove(id);
    }

    /** Whether anything waits for a controller to be told, in a new message. */
    boolean tells(int peer) {
        for (Confirmation confirmation : standing.values()) {
            if (confirmation.then != null && !confirmation.toldTo.contains(peer)) {
                return true;
            }
        }
        return false;
    }

    private void confirmed(String id) {
        Confirmation confirmation = standing.get(id);
        if (confirmation == null || confirmation.then == null) {
            return;
        }
        int others = 0;
        for (int i = 0; i < peers.length; i++) {
            // a controller of an older version is never informed, so it can't be taken for one that knows
            others += confirmation.toldTo.contains(i) || peers[i].answered && !peers[i].tells ? 1 : 0;
        }
        if (others >= (peers.length + 1) / 2) {
            Runnable then = confirmation.then;
            confirmation.then = null;
            then.run();
        }
    }

    // ---- what controllers tell each other

    /** What to tell another controller; {@code sure}: this node leads, and nobody else can. */
    PeerMessage.CancellationKnowledge words(int peer, boolean sure) {
        boolean all = complete && sure && standing.size() <= PeerMessage.MAX_CANCELLED_JOBS;
        for (Peer p : peers) {
            all &= p.answered && p.tells; // who does not tell may lead one day and confirm what nobody else knows
        }
        List<String> ids = new ArrayList<>();
        standing.forEach((id, confirmation) -> {
            if (ids.size() < PeerMessage.MAX_CANCELLED_JOBS && !confirmation.toldTo.contains(peer)) {
                ids.add(id);
            }
        });
        for (String id : standing.keySet()) {
            if (ids.size() < PeerMessage.MAX_CANCELLED_JOBS
                    && standing.get(id).toldTo.contains(peer)) {
                ids.add(id);
            }
        }
        return new PeerMessage.CancellationKnowledge(process, peers[peer].process, informed, all, ids);
    }

    /** The answer to what another controller said. */
    PeerMessage.CancellationKnowledge answer(PeerMessage.TermAnnouncement heard) {
        boolean leader = heard.leading()
                && heard.knowledge() != null
                && heard.knowledge().complete();
        List<String> ids = leader ? List.of() : lately();
        return new PeerMessage.CancellationKnowledge(
                process,
                heard.knowledge() == null ? 0 : heard.knowledge().process(),
                informed && ids.size() <= PeerMessage.MAX_CANCELLED_JOBS,
                false,
                ids.subList(0, Math.min(ids.size(), PeerMessage.MAX_CANCELLED_JOBS)));
    }

    private List<String> lately() {
        long before = environment.now() - rememberedMs;
        known.values().removeIf(at -> at < before);
        return List.copyOf(known.keySet());
    }

    /** Takes in what another controller says by itself; {@code current}: it speaks for a term that is not outdated. */
    void heard(PeerMessage.TermAnnouncement term, boolean current) {
        PeerMessage.CancellationKnowledge knowledge = term.knowledge();
        take(term);
        if (knowledge == null) {
            return;
        }
        // what was said to a former life of this process says nothing of what was confirmed since
        informed |= current && term.leading() && knowledge.complete() && knowledge.addressee() == process;
    }

    private void take(PeerMessage.TermAnnouncement term) {
        if (term.knowledge() == null) {
            informed &= !term.leading(); // a leader of an older version confirms what nobody else knows
        } else {
            term.knowledge().cancelled().forEach(this::addCancelled);
        }
    }

    /** Takes in what another controller answered to words that were sent then, with these jobs in them. */
    void answered(
            int from,
            PeerMessage.TermAnnouncement answer,
            long sentAt,
            long term,
            PeerMessage.CancellationKnowledge said) {
        Peer peer = peers[from];
        PeerMessage.CancellationKnowledge knowledge = answer.knowledge();
        peer.answered = true;
        peer.tells = knowledge != null;
        peer.process = knowledge == null ? 0 : knowledge.process();
        peer.informed = knowledge != null && knowledge.informed();
        take(answer);
        if (answer.term() != term) {
            return;
        }
        if (peer.informed) {
            peer.affirmedAt = Math.max(peer.affirmedAt, sentAt);
        }
        for (String id : said.cancelled()) {
            Confirmation confirmation = standing.get(id);
            if (confirmation != null && knowledge != null) {
                confirmation.toldTo.add(from);
            }
        }
        List.copyOf(standing.keySet()).forEach(this::confirmed);
    }
}
