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
 * A simulated host program: three controllers in one process with a simulated clock and network, without any other
 * package of the service. Fields for the leader and the end of its lease stand in for the key-value store.
 */
final class ExampleHost {
    static final long HEARTBEAT_INTERVAL_MS = 1000;
    static final long WORKER_LEASE_MS = 10_000;
    static final long LEADER_LEASE_MS = 1500;
    private static final String STORE = "store";

    final Map<String, Controller> controllers = new LinkedHashMap<>();
    final List<String> electedLeaders = new ArrayList<>();
    final SplittableRandom random;
    long now = 1;

    /** Whether messages from the first to the second endpoint arrive. */
    BiPredicate<String, String> delivers = (from, to) -> true;

    /** The share of link views of which a duplicate arrives one to two worker leases later. */
    double lateDuplicateShare;

    private final int workers;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nextEventNumber;
    private String leader = "";
    private long term;
    private long leaseEndsAt;

    /** A scheduled task; {@code number} orders tasks that are due at the same time. */
    private record Event(long at, long number, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    /** One controller with its {@link Connectivity}. */
    final class Controller {
        final String name;
        final Connectivity connectivity;
        final Map<String, Long> sequences = new TreeMap<>();
        long releases;

        Controller(String name, List<String> peers) {
            this.name = name;
            ConnectivityConfig config =
                    new ConnectivityConfig(name, peers, HEARTBEAT_INTERVAL_MS, WORKER_LEASE_MS, LEADER_LEASE_MS);
            this.connectivity = new Connectivity(config, 1 + random.nextInt(1000), now);
        }

        private void tick() {
            schedule(HEARTBEAT_INTERVAL_MS / 3, this::tick);
            if (delivers.test(name, STORE) && delivers.test(STORE, name)) {
                connectivity.storeAnswered(now);
                campaignOrRenew();
            } else {
                connectivity.storeFailed(FailureKind.UNANSWERED, now);
            }
            controllers.values().stream().filter(peer -> peer != this).forEach(this::exchange);
            for (ProbeTarget target : connectivity.takeDueProbes(8, now)) {
                boolean answered = delivers.test(name, target.worker()) && delivers.test(target.worker(), name);
                schedule(5, () -> probeCompleted(target.worker(), answered));
            }
            followAdvice(connectivity.advise(now));
        }

        private void probeCompleted(String worker, boolean answered) {
            if (answered) {
                connectivity.workerRequestAnswered(worker, true, now);
            } else {
                connectivity.workerRequestFailed(worker, true, now);
            }
        }

        private void campaignOrRenew() {
            if (leader.equals(name)) {
                leaseEndsAt = now + LEADER_LEASE_MS;
            } else if (now > leaseEndsAt && connectivity.electionDelayMs(now) == 0) {
                if (!leader.isEmpty()) {
                    controllers.get(leader).connectivity.deposed(true, now);
                }
                leader = name;
                electedLeaders.add(name);
                leaseEndsAt = now + LEADER_LEASE_MS;
                connectivity.elected(++term, now);
                for (int i = 0; i < workers; i++) {
                    connectivity.workerExpected("worker-" + i, "worker-" + i, now);
                }
            }
        }

        private void exchange(Controller peer) {
            byte[] view = ViewCodec.write(connectivity.viewFor(peer.name, now));
            if (!delivers.test(name, peer.name)) {
                connectivity.peerRequestFailed(peer.name, FailureKind.UNANSWERED, now);
                return;
            }
            schedule(2, () -> peer.receiveView(this, view));
            if (random.nextDouble() < lateDuplicateShare) {
                schedule(WORKER_LEASE_MS + random.nextLong(WORKER_LEASE_MS), () -> peer.receiveView(this, view));
            }
        }

        private void receiveView(Controller from, byte[] view) {
            connectivity.receive(ViewCodec.read(view), now);
            connectivity.peerMessageReceived(from.name, now);
            byte[] reply = ViewCodec.write(connectivity.viewFor(from.name, now));
            if (delivers.test(name, from.name)) {
                schedule(2, () -> {
                    from.connectivity.receive(ViewCodec.read(reply), now);
                    from.connectivity.peerRequestAnswered(name, now);
                });
            }
        }

        private void followAdvice(LeadershipAdvice advice) {
            boolean leading = leader.equals(name) && now <= leaseEndsAt;
            if (leading && advice.action() == LeadershipAdvice.Action.STEP_DOWN) {
                release();
            } else if (leading && advice.action() == LeadershipAdvice.Action.HAND_OVER) {
                connectivity.beginHandover(advice.nominee(), now);
                if (connectivity.advanceHandover(0, now) == HandoverAction.RELEASE) {
                    release();
                }
            }
        }

        private void release() {
            releases++;
            connectivity.deposed(false, now);
            connectivity.leadershipReleased(now);
            leader = "";
            leaseEndsAt = now;
        }

        /** Receives a worker's heartbeat unless it is lost; returns whether the response reaches the worker. */
        private boolean receiveHeartbeat(String worker) {
            long sequence = sequences.merge(worker, 1L, Long::sum);
            if (!delivers.test(worker, name)) {
                return false;
            }
            connectivity.heartbeatReceived(new WorkerHeartbeat(worker, worker, 1, sequence, true), now);
            if (leader.equals(name)) {
                connectivity.heartbeatAnswered(worker, now);
            }
            return delivers.test(name, worker);
        }
    }

    ExampleHost(long seed, int workers) {
        this.random = new SplittableRandom(seed);
        this.workers = workers;
        List<String> names = List.of("a", "b", "c");
        for (String name : names) {
            controllers.put(
                    name,
                    new Controller(
                            name,
                            names.stream().filter(peer -> !peer.equals(name)).toList()));
        }
        controllers.values().forEach(controller -> schedule(random.nextLong(100), controller::tick));
        for (int i = 0; i < workers; i++) {
            String worker = "worker-" + i;
            schedule(random.nextLong(HEARTBEAT_INTERVAL_MS), () -> sendHeartbeat(worker));
        }
    }

    private void sendHeartbeat(String worker) {
        schedule(
                HEARTBEAT_INTERVAL_MS * 3 / 4 + random.nextLong(HEARTBEAT_INTERVAL_MS / 2),
                () -> sendHeartbeat(worker));
        Controller receiver = controllers.get(leader);
        if (receiver != null) {
            receiver.receiveHeartbeat(worker);
        }
    }

    void schedule(long delayMs, Runnable task) {
        events.add(new Event(now + delayMs, nextEventNumber++, task));
    }

    /** Runs the simulation for this many seconds. */
    void runFor(double seconds) {
        long end = now + Math.round(1000 * seconds);
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.task.run();
        }
        now = end;
    }

    /** Returns the leader, or null if there is none. */
    Controller leader() {
        return controllers.get(leader);
    }

    /** Breaks the links between one controller and all workers, or restores all links if {@code cutOff} is false. */
    void cutOffFromWorkers(String controller, boolean cutOff) {
        delivers = cutOff
                ? (from, to) -> !(from.equals(controller) && to.startsWith("worker"))
                        && !(to.equals(controller) && from.startsWith("worker"))
                : (from, to) -> true;
    }
}
