package stileferry.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import stileferry.protocol.Features;
import stileferry.standin.LinkFaults.Effect;
import stileferry.transport.LogLevel;

/**
 * Breaks each link between real controllers, workers and the key-value store in turn, in each direction and with each
 * kind of fault, then pairs of links, and checks the task histories recorded by the workers. The main method runs all
 * cases: {@code java -cp target/stileferry.jar:target/test-classes stileferry.cli.LoopbackCuts [on|off]}.
 */
final class LoopbackCuts {
    private static final long CUT_MS = 10_000;
    private static final long RECOVERY_TIMEOUT_MS = 40_000;
    private static final int PARALLEL_CLUSTERS = 4;

    private LoopbackCuts() {}

    /** The links that are broken. Leader and follower are the ones at the time when the fault begins. */
    enum Link {
        LEADER_TO_STORE(
                (cluster, leader, effect) -> cluster.cut(LoopbackCluster.from(leader), "state"::equals, effect)),
        LEADER_TO_WORKERS((cluster, leader, effect) ->
                cluster.cut(LoopbackCluster.from(leader), LoopbackCluster.workers(), effect)),
        WORKERS_TO_LEADER((cluster, leader, effect) ->
                cluster.cut(LoopbackCluster.workers(), LoopbackCluster.to(leader), effect)),
        LEADER_AND_WORKERS((cluster, leader, effect) -> {
            LEADER_TO_WORKERS.cut(cluster, leader, effect);
            WORKERS_TO_LEADER.cut(cluster, leader, effect);
        }),
        LEADER_AND_HALF_OF_THE_WORKERS((cluster, leader, effect) -> {
            cluster.cut(LoopbackCluster.from(leader), LoopbackCluster.halfOfWorkers(), effect);
            cluster.cut(LoopbackCluster.halfOfWorkers(), LoopbackCluster.to(leader), effect);
        }),
        LEADER_TO_CONTROLLERS((cluster, leader, effect) ->
                cluster.cut(LoopbackCluster.from(leader), name -> name.startsWith("node-"), effect)),
        CONTROLLERS_TO_LEADER((cluster, leader, effect) ->
                cluster.cut(name -> name.startsWith("127."), LoopbackCluster.to(leader), effect)),
        ALL_CONTROLLERS((cluster, leader, effect) ->
                cluster.cut(name -> name.startsWith("127."), name -> name.startsWith("node-"), effect)),
        FOLLOWER_TO_STORE((cluster, leader, effect) ->
                cluster.cut(LoopbackCluster.from((leader + 1) % 3), "state"::equals, effect)),
        FOLLOWER_AND_WORKERS((cluster, leader, effect) -> LEADER_AND_WORKERS.cut(cluster, (leader + 1) % 3, effect)),
        // pairs of links
        LEADER_AND_WORKERS_AND_CONTROLLERS((cluster, leader, effect) -> {
            LEADER_AND_WORKERS.cut(cluster, leader, effect);
            LEADER_TO_CONTROLLERS.cut(cluster, leader, effect);
            CONTROLLERS_TO_LEADER.cut(cluster, leader, effect);
        }),
        LEADER_TO_STORE_AND_CONTROLLERS((cluster, leader, effect) -> {
            LEADER_TO_STORE.cut(cluster, leader, effect);
            LEADER_TO_CONTROLLERS.cut(cluster, leader, effect);
            CONTROLLERS_TO_LEADER.cut(cluster, leader, effect);
        }),
        LEADER_AND_WORKERS_FOLLOWER_TO_STORE((cluster, leader, effect) -> {
            LEADER_AND_WORKERS.cut(cluster, leader, effect);
            FOLLOWER_TO_STORE.cut(cluster, leader, effect);
        });

        private final LinkCut linkCut;

        Link(LinkCut linkCut) {
            this.linkCut = linkCut;
        }

        void cut(LoopbackCluster cluster, int leader, Effect effect) {
            linkCut.cut(cluster, leader, effect);
        }
    }

    /** Injects the fault into one or more links of a cluster with this leader. */
    private interface LinkCut {
        void cut(LoopbackCluster cluster, int leader, Effect effect);
    }

    /**
     * The result of one case.
     *
     * @param violations the violated invariants
     * @param longestIdleMs the longest period in which no task started or ended although work was waiting
     * @param leaderChanged whether another controller was the leader when the fault ended
     */
    record Result(Link link, Effect effect, List<String> violations, long longestIdleMs, boolean leaderChanged) {}

    /** Runs one case in a cluster without faults. */
    static Result runCase(LoopbackCluster cluster, Link link, Effect effect, long cutMs) throws InterruptedException {
        int leader = cluster.awaitLeader(20_000);
        if (leader < 0) {
            return new Result(link, effect, List.of("no leader was elected"), 0, false);
        }
        long from = System.nanoTime() / 1_000_000;
        long until = from + cutMs;
        link.cut(cluster, leader, effect);
        while (System.nanoTime() / 1_000_000 < until) {
            cluster.submitArray(2, 0.5);
            Thread.sleep(400);
        }
        long idleMs = cluster.longestIdleMs(from);
        int leaderAfterFault = cluster.leader();
        cluster.restore();
        boolean allDone = cluster.awaitAllWorkDone(RECOVERY_TIMEOUT_MS);
        List<String> violations = new ArrayList<>(cluster.findViolations());
        if (!allDone) {
            violations.add("work was not finished in time");
        }
        return new Result(link, effect, violations, idleMs, leaderAfterFault >= 0 && leaderAfterFault != leader);
    }

    /** Runs cases one after the other in one cluster. */
    static List<Result> runCases(List<Link> links, List<Effect> effects, Features features, long cutMs)
            throws Exception {
        List<Result> results = new ArrayList<>();
        Path dir = Files.createTempDirectory("loopback");
        try (LoopbackCluster cluster = new LoopbackCluster(dir, features)) {
            cluster.awaitLeader(20_000);
            cluster.submitService(2);
            cluster.submitService(2);
            cluster.awaitAllWorkDone(RECOVERY_TIMEOUT_MS);
            for (Link link : links) {
                for (Effect effect : effects) {
                    results.add(runCase(cluster, link, effect, cutMs));
                }
            }
        }
        return results;
    }

    /** Runs all cases, a few clusters in parallel; exits with 1 if an invariant was violated. */
    public static void main(String[] args) throws Exception {
        LogLevel.initialize("error");
        Features features = new Features(args.length == 0 || args[0].equals("on"), false);
        List<Effect> effects = List.of(Effect.REFUSED, Effect.REQUEST_LOST, Effect.ANSWER_LOST, Effect.SLOW);
        ExecutorService pool = Executors.newFixedThreadPool(PARALLEL_CLUSTERS);
        List<Future<List<Result>>> running = new ArrayList<>();
        for (Link link : Link.values()) {
            running.add(pool.submit(() -> runCases(List.of(link), effects, features, CUT_MS)));
        }
        pool.shutdown();
        boolean anyViolation = false;
        System.out.println("features " + features.enabledNames() + ", cuts of " + CUT_MS / 1000 + " s");
        for (Future<List<Result>> future : running) {
            for (Result result : future.get()) {
                anyViolation |= !result.violations.isEmpty();
                System.out.printf(
                        "%-40s %-13s idle %5.1f s %-13s %s%n",
                        result.link,
                        result.effect,
                        result.longestIdleMs / 1000.0,
                        result.leaderChanged ? "another leads" : "",
                        result.violations.isEmpty() ? "ok" : result.violations);
            }
        }
        System.exit(anyViolation ? 1 : 0);
    }

    static {
        // disables JMX for the controllers' networking library, as in Daemon
        System.setProperty("javax.management.builder.initial", "none");
    }
}
