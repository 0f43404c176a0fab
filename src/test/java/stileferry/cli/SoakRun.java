package stileferry.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import stileferry.cli.AnswerChecker.JobRecord;
import stileferry.standin.LinkFaults;
import stileferry.standin.LinkFaults.Effect;

/**
 * One soak run: the faults of a seed on real processes while users go on, then no faults, then the checks. Which faults
 * there are, when and for how long repeats with the seed; how processes and threads interleave does not.
 */
final class SoakRun {
    /** Once all faults are over, each accepted job that was not cancelled is answered within this time. */
    static final long MAX_UNANSWERED_MS = 75_000;

    /** Once all faults are over, no job waits longer than this while there is room for it. */
    static final long MAX_WAIT_MS = 90_000;

    private static final long ASK_INTERVAL_MS = 1000;
    private static final long FIRST_LEADER_TIMEOUT_MS = 30_000;
    private static final int SERIES_KILLS = 4;
    private static final double LATE_SHARE = 0.3;
    private static final int HANGING_MACHINES = 6;
    private static final int RECLAIMED_MACHINES = 3;
    private static final int LOG_CHARS = 6000;

    private final long seed;
    private final long faultsMs;
    private final SoakCluster cluster;
    private final AnswerChecker checker = new AnswerChecker();
    private final SoakUsers users;
    private final List<String> violations = new ArrayList<>();

    /**
     * The result of a run.
     *
     * @param faults the faults, as the seed repeats them
     * @param slowestAnswerMs how long after the end of the faults the last accepted job was answered about
     * @param logs views of the leader and the ends of the controllers' logs; empty if nothing was violated
     */
    record Result(
            long seed,
            List<SoakFault> faults,
            int jobs,
            int starts,
            long slowestAnswerMs,
            List<String> violations,
            String logs) {}

    private SoakRun(long seed, long faultsMs, SoakCluster cluster) {
        this.seed = seed;
        this.faultsMs = faultsMs;
        this.cluster = cluster;
        this.users = new SoakUsers(cluster, checker);
    }

    /** Runs a seed with this number of machines and faults during this time. */
    static Result run(long seed, int machines, long faultsMs, Path dir) throws Exception {
        try (SoakCluster cluster = new SoakCluster(dir, machines)) {
            return new SoakRun(seed, faultsMs, cluster).run();
        }
    }

    private Result run() throws Exception {
        List<SoakFault> faults = SoakFault.schedule(seed, faultsMs);
        if (!cluster.awaitLeader(FIRST_LEADER_TIMEOUT_MS)) {
            violations.add("no leader at the start");
        }
        users.start(seed);
        inject(faults);
        long faultsEndedAt = TaskHistory.now();
        long slowestAnswerMs = awaitAnswers(faultsEndedAt);
        users.stop();
        awaitWorkDone(TaskHistory.now());
        violations.addAll(checker.findViolations(cluster.history, SoakCluster.CANCEL_DEADLINE_MS));
        violations.addAll(cluster.history.findViolations(cpusOfLimitedJobs(), SoakCluster.RED_TEAM_MAX_CPUS));
        checkLogs();
        return new Result(
                seed,
                faults,
                checker.jobs().size(),
                cluster.history.startCount(),
                slowestAnswerMs,
                violations,
                violations.isEmpty() ? "" : cluster.diagnostics(LOG_CHARS));
    }

    private Map<String, Double> cpusOfLimitedJobs() {
        Map<String, Double> cpus = new HashMap<>();
        checker.jobs().stream().filter(SoakUsers::limited).forEach(job -> cpus.put(job.id, job.cpusPerTask));
        return cpus;
    }

    /** A controller that logs an error has found a violated invariant or a defect of its own. */
    private void checkLogs() throws IOException {
        for (int i = 0; i < SoakCluster.CONTROLLERS; i++) {
            int controller = i;
            cluster.controller(i)
                    .log()
                    .lines()
                    .filter(line -> line.startsWith("ERROR") || line.contains("OutOfMemory"))
                    .limit(3)
                    .forEach(line -> violations.add("logged by " + SoakCluster.name(controller) + ": " + line));
        }
    }

    // ---- after the faults

    /** Asks about each accepted job until it is answered; returns how long that took for the slowest. */
    private long awaitAnswers(long faultsEndedAt) throws InterruptedException {
        List<JobRecord> unanswered = new ArrayList<>(checker.jobs());
        unanswered.removeIf(job -> !job.accepted() || job.cancelRequested());
        long slowestMs = 0;
        for (int round = 0; !unanswered.isEmpty(); round++) {
            for (JobRecord job : List.copyOf(unanswered)) {
                int status = users.ask(job, round % SoakCluster.CONTROLLERS);
                long sinceMs = TaskHistory.now() - faultsEndedAt;
                if (status == 200) {
                    unanswered.remove(job);
                    slowestMs = Math.max(slowestMs, sinceMs);
                } else if (sinceMs > MAX_UNANSWERED_MS) {
                    unanswered.remove(job);
                    slowestMs = Math.max(slowestMs, sinceMs);
                    violations.add("unanswered: " + job.id + " for " + sinceMs + " ms, last status " + status);
                }
            }
            if (!unanswered.isEmpty()) {
                Thread.sleep(ASK_INTERVAL_MS);
            }
        }
        return slowestMs;
    }

    /** Waits until arrays are done, services run, and cancellations are confirmed and carried out. */
    private void awaitWorkDone(long since) throws InterruptedException {
        List<JobRecord> unfinished = new ArrayList<>(checker.jobs());
        unfinished.removeIf(job -> !job.accepted());
        for (int round = 0; TaskHistory.now() - since < MAX_WAIT_MS; round++) {
            for (JobRecord job : List.copyOf(unfinished)) {
                advance(job, round % SoakCluster.CONTROLLERS);
                if (finished(job)) {
                    unfinished.remove(job);
                }
            }
            if (unfinished.isEmpty()) {
                return;
            }
            Thread.sleep(ASK_INTERVAL_MS);
        }
        unfinished.forEach(job -> violations.add("unfinished: " + job.id + " of " + job.tasks + " tasks, service "
                + job.service + ", cancelled " + job.cancelRequested() + ", running "
                + cluster.history.runningTasks(job.id)));
    }

    private void advance(JobRecord job, int controller) throws InterruptedException {
        if (job.cancelRequested() && !job.ended()) {
            users.cancel(job, controller);
        } else if (!job.ended()) {
            users.ask(job, controller);
        }
    }

    private boolean finished(JobRecord job) {
        long running = cluster.history.runningTasks(job.id);
        if (job.cancelRequested()) {
            return job.ended() && running == 0;
        }
        return job.service ? running == job.tasks : job.ended();
    }

    // ---- faults

    /** Begins and ends all faults at their times; returns when the last one has ended. */
    private void inject(List<SoakFault> faults) throws InterruptedException {
        CountDownLatch running = new CountDownLatch(faults.size());
        ScheduledExecutorService timers = Executors.newScheduledThreadPool(faults.size());
        for (SoakFault fault : faults) {
            timers.schedule(() -> injectOne(fault, running), fault.startMs(), TimeUnit.MILLISECONDS);
        }
        running.await();
        timers.shutdown();
    }

    private void injectOne(SoakFault fault, CountDownLatch running) {
        try {
            int controller = fault.controller();
            if (controller == SoakFault.LEADER) {
                controller = Math.max(0, cluster.leader());
            }
            carryOut(fault, controller);
        } catch (IOException e) {
            violations.add("fault not carried out: " + fault + " " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            running.countDown();
        }
    }

    private void carryOut(SoakFault fault, int controller) throws IOException, InterruptedException {
        String name = SoakCluster.name(controller);
        switch (fault.kind()) {
            case KILL -> killAndRestart(List.of(controller), fault.durationMs());
            case KILL_ALL -> killAndRestart(List.of(0, 1, 2), fault.durationMs());
            case KILL_LEADERS_IN_SERIES -> killLeadersInSeries(fault.durationMs());
            case PAUSE -> pause(controller, fault.durationMs());
            case CUT_FROM_STORE -> cut(fault, (from, to) -> from.equals(name) && isService(to));
            case CUT_FROM_PEERS -> cut(fault, (from, to) -> isPeerLink(from, to) && isEnd(name, from, to));
            case CUT_FROM_STORE_AND_PEERS ->
                cut(
                        fault,
                        (from, to) ->
                                from.equals(name) && isService(to) || isPeerLink(from, to) && isEnd(name, from, to));
            case CUT_ALL_PEERS -> cut(fault, SoakRun::isPeerLink);
            case CUT_FROM_WORKERS -> cut(fault, (from, to) -> SoakCluster.isMachine(from) && to.equals(name));
            case STORE_OUTAGE -> storeOutage(fault.durationMs());
            case LATE_TRANSACTIONS -> cutAs(Effect.LATE, fault, (from, to) -> happens(from, to, isStore(to)));
            case LATE_HEARTBEATS ->
                cutAs(Effect.LATE, fault, (from, to) -> happens(to, from, SoakCluster.isMachine(from)));
            case LATE_COMMANDS -> cutAs(Effect.LATE, fault, (from, to) -> happens(from, to, SoakCluster.isMachine(to)));
            case REPEATED_COMMANDS ->
                cutAs(Effect.REPEATED, fault, (from, to) -> happens(from, to, SoakCluster.isMachine(to)));
            case REPEATED_TRANSACTIONS -> cutAs(Effect.REPEATED, fault, (from, to) -> happens(from, to, isStore(to)));
            case DEAF_MACHINES -> deafMachines(fault);
            case MUTE_MACHINES -> cutAs(Effect.REFUSED, fault, (from, to) -> SoakCluster.isInAffectedHalf(from));
            case HANGING_MACHINES -> {
                cluster.standIns().hangMachines(HANGING_MACHINES, fault.durationMs());
                Thread.sleep(fault.durationMs());
            }
            case RECLAIMED_MACHINES -> cluster.standIns().reclaimMachines(RECLAIMED_MACHINES);
        }
    }

    private static boolean isService(String to) {
        return isStore(to) || to.equals(LinkFaults.CLOUD);
    }

    private static boolean isStore(String to) {
        return to.equals(LinkFaults.KEY_VALUE_STORE);
    }

    private static boolean isPeerLink(String from, String to) {
        return SoakCluster.isController(from) && SoakCluster.isController(to);
    }

    private static boolean isEnd(String controller, String from, String to) {
        return from.equals(controller) || to.equals(controller);
    }

    /** Returns true for a share of the messages that the stand-ins see, which know no names of controllers. */
    private static boolean happens(String from, String to, boolean concerned) {
        return concerned && !(SoakCluster.isController(from) && isService(to)) && SoakCluster.happensTo(LATE_SHARE);
    }

    private void cut(SoakFault fault, BiPredicate<String, String> link) throws InterruptedException {
        cutAs(fault.effect(), fault, link);
    }

    private void cutAs(Effect effect, SoakFault fault, BiPredicate<String, String> link) throws InterruptedException {
        SoakCluster.Cut cut = cluster.cut(link, effect);
        Thread.sleep(fault.durationMs());
        cluster.restore(cut);
    }

    private void deafMachines(SoakFault fault) throws InterruptedException {
        SoakCluster.Cut answers = cluster.cut((from, to) -> SoakCluster.isInAffectedHalf(from), Effect.ANSWER_LOST);
        SoakCluster.Cut commands = cluster.cut((from, to) -> SoakCluster.isInAffectedHalf(to), Effect.REQUEST_LOST);
        Thread.sleep(fault.durationMs());
        cluster.restore(answers);
        cluster.restore(commands);
    }

    private void storeOutage(long durationMs) throws InterruptedException {
        cluster.standIns().beginStoreOutage();
        Thread.sleep(durationMs);
        cluster.standIns().endStoreOutage();
    }

    private void killLeadersInSeries(long durationMs) throws IOException, InterruptedException {
        for (int i = 0; i < SERIES_KILLS; i++) {
            killAndRestart(List.of(Math.max(0, cluster.leader())), durationMs / SERIES_KILLS);
        }
    }

    /** Faults may overlap: a process that another fault has started meanwhile is left alone. */
    private void killAndRestart(List<Integer> controllers, long downMs) throws IOException, InterruptedException {
        for (int controller : controllers) {
            cluster.controller(controller).kill();
        }
        Thread.sleep(downMs);
        for (int controller : controllers) {
            cluster.controller(controller).startUnlessRunning();
        }
    }

    private void pause(int controller, long durationMs) throws IOException, InterruptedException {
        cluster.controller(controller).pause();
        Thread.sleep(durationMs);
        cluster.controller(controller).resume();
    }
}
