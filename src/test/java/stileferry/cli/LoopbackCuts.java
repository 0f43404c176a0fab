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
 * Breaks each link between real controllers, workers and key-value store in turn, in each direction and way, then pairs
 * of links, and checks the workers' own histories. As a command it plays the whole matrix:
 * {@code java -cp target/stileferry.jar:target/test-classes stileferry.cli.LoopbackCuts [on|off]}.
 */
final class LoopbackCuts {
    private static final long CUT_MS = 10_000;
    private static final long RECOVERY_TIMEOUT_MS = 40_000;
    private static final int PARALLEL_CLUSTERS = 4;

    private LoopbackCuts() {}

    /** Which link is cut; the leader and a follower are those at the time of the cut. */
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
        // pairs
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

    /** Breaks links of a cluster with this leader. */
    private interface LinkCut {
        void cut(LoopbackCluster cluster, int leader, Effect effect);
    }

    /**
     * What a case showed.
     *
     * @param violations invariants that were violated; empty: none
     * @param longestIdleMs the longest time in which no task began or ended, while work was waiting
     * @param leaderChanged whether another controller led after the cut
     */
    record Result(Link link, Effect effect, List<String> violations, long longestIdleMs, boolean leaderChanged) {}

    /** Plays one case in a cluster where all is well. */
    static Result runCase(LoopbackCluster cluster, Link link, Effect effect, long cutMs) throws InterruptedException {
        int leader = cluster.awaitLeader(20_000);
        if (leader < 0) {
            return new Result(link, effect, List.of("nobody leads"), 0, false);
        }
        long from = System.nanoTime() / 1_000_000;
        long until = from + cutMs;
        link.cut(cluster, leader, effect);
        while (System.nanoTime() / 1_000_000 < until) {
            cluster.submitArray(2, 0.5);
            Thread.sleep(400);
        }
        long idleMs = cluster.longestIdleMs(from);
        int after = cluster.leader();
        cluster.restore();
        boolean settled = cluster.awaitAllWorkDone(RECOVERY_TIMEOUT_MS);
        List<String> problems = new ArrayList<>(cluster.findViolations());
        if (!settled) {
            problems.add("work is left");
        }
        return new Result(link, effect, problems, idleMs, after >= 0 && after != leader);
    }

    /** Plays cases one after the other in one cluster. */
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

    /** Plays the whole matrix, a few clusters at a time, and ends with 1 if an invariant was violated. */
    public static void main(String[] args) throws Exception {
        LogLevel.start("error");
        Features features = new Features(args.length == 0 || args[0].equals("on"), false);
        List<Effect> effects = List.of(Effect.REFUSED, Effect.REQUEST_LOST, Effect.ANSWER_LOST, Effect.SLOW);
        ExecutorService pool = Executors.newFixedThreadPool(PARALLEL_CLUSTERS);
        List<Future<List<Result>>> running = new ArrayList<>();
        for (Link link : Link.values()) {
            running.add(pool.submit(() -> runCases(List.of(link), effects, features, CUT_MS)));
        }
        pool.shutdown();
        boolean broken = false;
        System.out.println("features " + features.enabledNames() + ", cuts of " + CUT_MS / 1000 + " s");
        for (Future<List<Result>> future : running) {
            for (Result result : future.get()) {
                broken |= !result.violations.isEmpty();
                System.out.printf(
                        "%-40s %-13s rest %5.1f s %-13s %s%n",
                        result.link,
                        result.effect,
                        result.longestIdleMs / 1000.0,
                        result.leaderChanged ? "another leads" : "",
                        result.violations.isEmpty() ? "ok" : result.violations);
            }
        }
        System.exit(broken ? 1 : 0);
    }

    static {
        // the controllers' networking library must not set up the runtime's management, as in the daemon
        System.setProperty("javax.management.builder.initial", "none");
    }
}
