package stileferry.connectivity;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import stileferry.connectivity.ReachabilityView.ProbeTarget;

/**
 * An example of a host program: three controllers in one process, with a clock and a transport of their own and no part
 * of the service but this package. Leadership is a variable here, as a lock service would hold it.
 */
final class ExampleHost {
    static final long REPORT_MS = 1000;
    static final long LEASE_MS = 10_000;
    static final long LEADER_LEASE_MS = 1500;
    private static final String STORE = "store";

    final Map<String, Member> members = new LinkedHashMap<>();
    final List<String> leaders = new ArrayList<>();
    final SplittableRandom random;
    long now = 1;

    /** Whether what the first sends reaches the second. */
    BiPredicate<String, String> passes = (from, to) -> true;

    /** The share of views that come again, much later. */
    double lateCopies;

    private final int workers;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long eventNumbers;
    private String leader = "";
    private long term;
    private long heldUntil;

    /** Something that happens at some time. */
    private record Event(long at, long number, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    /** One controller. */
    final class Member {
        final String name;
        final Connectivity connectivity;
        final Map<String, Long> sequences = new TreeMap<>();
        long viewBytes;
        long probesSent;
        long released;

        Member(String name, List<String> peers) {
            this.name = name;
            ConnectivityConfig config = new ConnectivityConfig(name, peers, REPORT_MS, LEASE_MS, LEADER_LEASE_MS);
            this.connectivity = new Connectivity(config, 1 + random.nextInt(1000), now);
        }

        private void tick() {
            after(REPORT_MS / 3, this::tick);
            if (passes.test(name, STORE) && passes.test(STORE, name)) {
                connectivity.storeAnswered(now);
                lead();
            } else {
                connectivity.storeFailed(FailureKind.UNANSWERED, now);
            }
            members.values().stream().filter(peer -> peer != this).forEach(this::exchange);
            for (ProbeTarget target : connectivity.takeDueProbes(8, now)) {
                probesSent++;
                boolean reached = passes.test(name, target.worker()) && passes.test(target.worker(), name);
                after(5, () -> answer(target.worker(), reached));
            }
            follow(connectivity.advise(now));
        }

        private void answer(String worker, boolean reached) {
            if (reached) {
                connectivity.workerRequestAnswered(worker, true, now);
            } else {
                connectivity.workerRequestFailed(worker, true, now);
            }
        }

        private void lead() {
            if (leader.equals(name)) {
                heldUntil = now + LEADER_LEASE_MS;
            } else if (now > heldUntil && connectivity.electionDelayMs(now) == 0) {
                if (!leader.isEmpty()) {
                    members.get(leader).connectivity.deposed(true, now);
                }
                leader = name;
                leaders.add(name);
                heldUntil = now + LEADER_LEASE_MS;
                connectivity.elected(++term, now);
                for (int i = 0; i < workers; i++) {
                    connectivity.workerExpected("worker-" + i, "worker-" + i, now);
                }
            }
        }

        private void exchange(Member peer) {
            byte[] words = ViewCodec.write(connectivity.viewFor(peer.name, now));
            viewBytes += words.length;
            if (!passes.test(name, peer.name)) {
                connectivity.peerRequestFailed(peer.name, FailureKind.UNANSWERED, now);
                return;
            }
            after(2, () -> peer.hear(this, words));
            if (random.nextDouble() < lateCopies) {
                after(LEASE_MS + random.nextLong(LEASE_MS), () -> peer.hear(this, words));
            }
        }

        private void hear(Member from, byte[] words) {
            connectivity.receive(ViewCodec.read(words), now);
            connectivity.peerMessageReceived(from.name, now);
            byte[] answer = ViewCodec.write(connectivity.viewFor(from.name, now));
            viewBytes += answer.length;
            if (passes.test(name, from.name)) {
                after(2, () -> {
                    from.connectivity.receive(ViewCodec.read(answer), now);
                    from.connectivity.peerRequestAnswered(name, now);
                });
            }
        }

        private void follow(LeadershipAdvice advice) {
            boolean leads = leader.equals(name) && now <= heldUntil;
            if (leads && advice.action() == LeadershipAdvice.Action.STEP_DOWN) {
                release();
            } else if (leads && advice.action() == LeadershipAdvice.Action.HAND_OVER) {
                connectivity.beginHandover(advice.nominee(), now);
                if (connectivity.advanceHandover(0, now) == HandoverAction.RELEASE) {
                    release();
                }
            }
        }

        private void release() {
            released++;
            connectivity.deposed(false, now);
            connectivity.leadershipReleased(now);
            leader = "";
            heldUntil = now;
        }

        /** A report of a worker, straight from it. */
        private boolean report(String worker) {
            long sequence = sequences.merge(worker, 1L, Long::sum);
            if (!passes.test(worker, name)) {
                return false;
            }
            connectivity.heartbeatReceived(new WorkerHeartbeat(worker, worker, 1, sequence, true), now);
            if (leader.equals(name)) {
                connectivity.heartbeatAnswered(worker, now);
            }
            return passes.test(name, worker);
        }
    }

    ExampleHost(long seed, int workers) {
        this.random = new SplittableRandom(seed);
        this.workers = workers;
        List<String> names = List.of("a", "b", "c");
        for (String name : names) {
            members.put(
                    name,
                    new Member(name, names.stream().filter(n -> !n.equals(name)).toList()));
        }
        members.values().forEach(member -> after(random.nextLong(100), member::tick));
        for (int i = 0; i < workers; i++) {
            String worker = "worker-" + i;
            after(random.nextLong(REPORT_MS), () -> report(worker));
        }
    }

    private void report(String worker) {
        after(REPORT_MS * 3 / 4 + random.nextLong(REPORT_MS / 2), () -> report(worker));
        Member to = members.get(leader);
        if (to != null) {
            to.report(worker);
        }
    }

    void after(long ms, Runnable task) {
        events.add(new Event(now + ms, eventNumbers++, task));
    }

    /** Plays so many seconds. */
    void play(double seconds) {
        long end = now + Math.round(1000 * seconds);
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.task.run();
        }
        now = end;
    }

    /** Who leads; null: nobody. */
    Member leader() {
        return members.get(leader);
    }

    int workers() {
        return workers;
    }

    /** Cuts one member off from all workers, or mends that. */
    void cutFromWorkers(String member, boolean cut) {
        passes = cut
                ? (from, to) -> !(from.equals(member) && to.startsWith("worker"))
                        && !(to.equals(member) && from.startsWith("worker"))
                : (from, to) -> true;
    }
}
