package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.protocol.Features;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.standin.Worker;

/** Seeded random days in a simulated world; every rule is checked at every step. */
class InvariantsUnderFaultsTest {
    private static JobSpec job(int number, SplittableRandom random) {
        JobSpec.Kind kind = random.nextInt(5) == 0
                ? JobSpec.Kind.SERVICE
                : random.nextInt(5) == 0 ? JobSpec.Kind.GANG : JobSpec.Kind.ARRAY;
        String team = List.of("red", "blue", "free").get(random.nextInt(3));
        JobSpec.Priority priority = kind == JobSpec.Kind.SERVICE
                ? JobSpec.Priority.CRITICAL
                : random.nextBoolean() ? JobSpec.Priority.NORMAL : JobSpec.Priority.IDLE;
        boolean saves = random.nextBoolean();
        return new JobSpec(
                "job-" + (1000 + number),
                "any",
                team,
                kind,
                priority,
                kind == JobSpec.Kind.SERVICE ? 1 + random.nextInt(3) : 1 + random.nextInt(8),
                1 + random.nextInt(4),
                0,
                1 + random.nextInt(8),
                "img" + random.nextInt(3),
                1,
                null,
                random.nextInt(6) == 0 ? "za" : null,
                random.nextInt(5) == 0,
                random.nextInt(3) == 0,
                kind == JobSpec.Kind.ARRAY && random.nextBoolean(),
                kind == JobSpec.Kind.SERVICE ? 0 : 2 + random.nextInt(20),
                saves ? 3 : 0,
                saves ? 1 : 0,
                -1);
    }

    /** A day with users at work and one trouble after the other, until all is quiet again at the end. */
    static SimulatedCluster day(long seed, double seconds) {
        return day(seed, seconds, cluster -> {});
    }

    static SimulatedCluster day(long seed, double seconds, Consumer<SimulatedCluster> prepare) {
        SimulatedCluster cluster = new SimulatedCluster(seed);
        prepare.accept(cluster);
        SplittableRandom random = cluster.random.split();
        cluster.faults.duplicateHeartbeatRate = seed % 2 == 0 ? 0.1 : 0;
        cluster.after(random.nextLong(Math.round(1000 * seconds)), () -> cluster.state.setLimits(4, 2));
        cluster.runFor(3);
        int jobs = 0;
        for (double t = 0; t < seconds && cluster.violations.isEmpty(); t += 2) {
            if (random.nextInt(3) != 0) {
                cluster.submit(job(jobs++, random));
            }
            if (random.nextInt(8) == 0 && !cluster.users.isEmpty()) {
                List<SimulatedUser> open = cluster.users.values().stream()
                        .filter(u -> u.accepted && !u.cancelRequested)
                        .toList();
                if (!open.isEmpty()) {
                    cluster.cancel(open.get(random.nextInt(open.size())));
                }
            }
            if (random.nextInt(5) == 0) {
                trouble(cluster, random);
            }
            cluster.runFor(2);
        }
        cluster.faults.storeDown = false;
        cluster.network.restoreAll();
        cluster.faults.rejectedByStore.clear();
        cluster.faults.inboundLoss.clear();
        cluster.faults.partitionedFromControlPlane.clear();
        cluster.faults.inboundDelayMs.clear();
        cluster.faults.peerConnectionsRefused = false;
        cluster.faults.storeResponseDelayMs = 0;
        cluster.faults.eventLoopTurnMs.clear();
        cluster.faults.responseLossRate = 0;
        cluster.faults.lateCommitRate = 0;
        cluster.faults.unansweredCommitRate = 0;
        cluster.faults.heartbeatLoss.clear();
        cluster.faults.replayHeartbeatsToNextLeader = false;
        cluster.after(45_000, cluster.network::restoreAll); // links that came and went
        cluster.faults.endedAt = cluster.now;
        cluster.runFor(90); // until every submission has been answered or given up
        for (SimulatedUser user : List.copyOf(cluster.users.values())) {
            if (user.spec.service() && user.accepted && !user.cancelRequested) {
                cluster.cancel(user);
            }
        }
        cluster.runFor(200);
        return cluster;
    }

    private static void trouble(SimulatedCluster cluster, SplittableRandom random) {
        List<ControllerNode> nodes = List.copyOf(cluster.controllers.values());
        ControllerNode node = nodes.get(random.nextInt(3));
        List<String> machines = cluster.cloud.runningMachines();
        String machine = machines.isEmpty() ? null : machines.get(random.nextInt(machines.size()));
        String addr = "w-" + machine + ":1";
        switch (random.nextInt(32)) {
            case 0, 1 -> restart(cluster, node, random.nextBoolean() ? 300 : 5000);
            case 2 -> nodes.forEach(n -> restart(cluster, n, 1000 + random.nextLong(4000)));
            case 3 -> cluster.faults.partition(node.settings.controllerName(), 1000 + random.nextLong(20_000));
            case 4 -> cluster.faults.partition(addr, 1000 + random.nextLong(20_000));
            case 5 -> {
                cluster.faults.storeDown = true;
                cluster.after(1000 + random.nextLong(15_000), () -> {
                    cluster.faults.storeDown = false;
                    cluster.state.renewAllLeases(cluster.now);
                });
            }
            case 6 -> {
                cluster.faults.rejectedByStore.add(node.settings.controllerName());
                cluster.after(
                        1000 + random.nextLong(20_000),
                        () -> cluster.faults.rejectedByStore.remove(node.settings.controllerName()));
            }
            case 7 -> {
                if (machine != null) {
                    cluster.cloud.reclaim(machine);
                }
            }
            case 8 -> {
                Worker sick = cluster.workers.get(addr);
                if (sick != null) {
                    sick.setFaulty(true);
                    cluster.after(15_000, () -> sick.setFaulty(false));
                }
            }
            case 9 -> {
                cluster.faults.inboundLoss.add(addr);
                cluster.after(1000 + random.nextLong(40_000), () -> cluster.faults.inboundLoss.remove(addr));
            }
            case 10 -> {
                cluster.faults.partitionedFromControlPlane.add(node.settings.controllerName());
                cluster.after(
                        1000 + random.nextLong(30_000),
                        () -> cluster.faults.partitionedFromControlPlane.remove(node.settings.controllerName()));
            }
            case 11 -> {
                cluster.faults.peerConnectionsRefused = true;
                cluster.after(1000 + random.nextLong(20_000), () -> cluster.faults.peerConnectionsRefused = false);
            }
            case 12 -> {
                cluster.faults.inboundDelayMs.put(node.settings.controllerName(), 400L);
                cluster.after(
                        1000 + random.nextLong(20_000),
                        () -> cluster.faults.inboundDelayMs.remove(node.settings.controllerName()));
            }
            case 13 -> {
                cluster.faults.storeResponseDelayMs = 30 * 20;
                cluster.after(1000 + random.nextLong(30_000), () -> cluster.faults.storeResponseDelayMs = 0);
            }
            case 16, 17 -> { // a zone is cut off, and the leader may crash meanwhile
                cluster.faults.partitionZone(random.nextBoolean() ? "za" : "zb", 1000 + random.nextLong(25_000));
                ControllerNode leader = cluster.leader();
                if (leader != null && random.nextBoolean()) {
                    cluster.after(
                            random.nextLong(15_000), () -> restart(cluster, leader, random.nextBoolean() ? 200 : 5000));
                }
            }
            case 18, 19 -> { // one controller, or all of them, is given little processor time
                for (ControllerNode slow : random.nextBoolean() ? nodes : List.of(node)) {
                    cluster.faults.eventLoopTurnMs.put(slow.settings.controllerName(), 5 + random.nextLong(60));
                }
                cluster.after(1000 + random.nextLong(30_000), cluster.faults.eventLoopTurnMs::clear);
            }
            case 20 -> {
                cluster.faults.lateCommitRate = 0.1 + 0.4 * random.nextDouble();
                cluster.after(1000 + random.nextLong(15_000), () -> cluster.faults.lateCommitRate = 0);
            }
            case 21 -> {
                cluster.faults.unansweredCommitRate = 0.1 + 0.4 * random.nextDouble();
                cluster.after(1000 + random.nextLong(15_000), () -> cluster.faults.unansweredCommitRate = 0);
            }
            case 22 -> {
                cluster.faults.heartbeatLoss.add(addr);
                cluster.after(1000 + random.nextLong(30_000), () -> cluster.faults.heartbeatLoss.remove(addr));
            }
            case 23 -> cluster.faults.hang(addr, 1000 + random.nextLong(25_000));
            case 24 -> {
                cluster.faults.replayHeartbeatsToNextLeader = true;
                cluster.after(
                        1000 + random.nextLong(30_000), () -> cluster.faults.replayHeartbeatsToNextLeader = false);
            }
            case 25 -> { // the leader is refused, and then everybody for longer than a cancellation's time
                ControllerNode leader = cluster.leader();
                if (leader != null) {
                    cluster.faults.rejectedByStore.add(leader.settings.controllerName());
                    cancelSome(cluster, random);
                    cluster.after(1000 + random.nextLong(4000), () -> {
                        cluster.faults.storeDown = true;
                        cancelSome(cluster, random);
                        cluster.after(15_000 + random.nextLong(15_000), () -> {
                            cluster.faults.storeDown = false;
                            cluster.state.renewAllLeases(cluster.now);
                        });
                    });
                    cluster.after(
                            14_000, () -> cluster.faults.rejectedByStore.remove(leader.settings.controllerName()));
                }
            }
            case 26 ->
                nodes.forEach(n -> restart(cluster, n, 5000 + random.nextLong(12_000))); // for longer than a lease
            case 27 -> { // jobs are cancelled while the leader changes
                ControllerNode leader = cluster.leader();
                if (leader != null) {
                    cancelSome(cluster, random);
                    cluster.after(
                            random.nextLong(300), () -> restart(cluster, leader, random.nextBoolean() ? 300 : 5000));
                }
            }
            case 28, 29, 30, 31 -> cutLink(cluster, random);
            case 14 -> { // back at once, while the others may just be choosing a leader
                nodes.forEach(n -> restart(cluster, n, 100 + random.nextLong(200)));
                cluster.after(500 + random.nextLong(2000), () -> restart(cluster, node, 100));
            }
            default -> {
                cluster.faults.responseLossRate = 0.2;
                cluster.after(4000, () -> cluster.faults.responseLossRate = 0);
            }
        }
    }

    /** One direction of a link, or both, or a link that comes and goes. */
    private static void cutLink(SimulatedCluster cluster, SplittableRandom random) {
        String node = "n" + random.nextInt(3);
        String machine = cluster.cloud.runningMachines().isEmpty()
                ? "none"
                : cluster.cloud.runningMachines().get(0);
        List<String> ends = List.of(
                SimulatedCluster.STORE,
                SimulatedNetwork.WORKERS,
                SimulatedNetwork.WORKERS,
                "n" + random.nextInt(3),
                "w-" + machine + ":1");
        String end = ends.get(random.nextInt(ends.size()));
        SimulatedNetwork.LinkFault mode = SimulatedNetwork.LinkFault.values()[random.nextInt(3)];
        int ways = random.nextInt(3);
        int times = random.nextInt(3) == 0 ? 4 : 1;
        long periodMs = times == 1 ? 1000 + random.nextLong(30_000) : 1000 + random.nextLong(6000);
        for (int i = 0; i < times; i++) {
            cluster.after(2 * i * periodMs, () -> {
                if (ways != 1) {
                    cluster.network.block(node, end, mode);
                }
                if (ways != 2) {
                    cluster.network.block(end, node, mode);
                }
            });
            cluster.after((2 * i + 1) * periodMs, () -> cluster.network.restoreBoth(node, end));
        }
    }

    private static void cancelSome(SimulatedCluster cluster, SplittableRandom random) {
        List<SimulatedUser> open = cluster.users.values().stream()
                .filter(u -> u.accepted && u.endState == null && !u.cancelRequested)
                .toList();
        for (int i = 0; i < Math.min(3, open.size()); i++) {
            cluster.cancel(open.get(random.nextInt(open.size())));
        }
    }

    static void restart(SimulatedCluster cluster, ControllerNode node, long afterMs) {
        if (node.up()) {
            node.crash();
            cluster.after(afterMs, node::start);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void noRuleIsBrokenAndAllWorkIsDoneInTheEnd(long seed) {
        allIsDone(day(seed, 120));
    }

    /** The same with links watched, on some days by two controllers only, the third being of the version before. */
    @ParameterizedTest
    @MethodSource("seedsOfWatchedLinks")
    void noRuleIsBrokenWithLinksWatched(long seed) {
        allIsDone(day(seed, 120, cluster -> {
            cluster.features = new Features(true, false);
            if (seed % 3 == 0) {
                cluster.controllersWithoutFeatures.add("n" + seed % 2);
            }
            if (seed % 5 == 0) {
                cluster.formerRecordFormat.add("n2");
                cluster.controllersWithoutFeatures.add("n2");
            }
        }));
    }

    private static LongStream seedsOfWatchedLinks() {
        return LongStream.range(0, Integer.getInteger("days", 20)).map(i -> 1000 + i);
    }

    static void allIsDone(SimulatedCluster cluster) {
        assertEquals(List.of(), cluster.violations);
        List<String> open = cluster.users.values().stream()
                .filter(u -> u.accepted && u.endState == null)
                .map(u -> u.spec.toString())
                .toList();
        assertEquals(List.of(), open, "jobs that are neither done nor cancelled long after the last trouble");
        assertTrue(cluster.tasks.starts > 20, "too little happened: " + cluster.tasks.starts + " starts");
    }

    /**
     * A leader on a tenth of a core got ever further behind in a burst: each start was a command of its own, though the
     * machine's next report would have fetched it for nothing. Critical tasks still hear at once.
     */
    @Test
    void aLeaderThatIsBehindSparesCommands() {
        int[] commands = new int[2];
        for (int slow = 0; slow < 2; slow++) {
            SimulatedCluster cluster = new SimulatedCluster(77);
            cluster.runFor(3);
            cluster.submit(array(1, "any", JobSpec.Priority.NORMAL, 8, 1));
            cluster.runFor(25);
            if (slow == 1) {
                cluster.controllers.keySet().forEach(name -> cluster.faults.eventLoopTurnMs.put(name, 70L));
            }
            cluster.runFor(5);
            int before = cluster.directCommands;
            for (int i = 10; i < 16; i++) {
                cluster.submit(array(i, "any", JobSpec.Priority.NORMAL, 4, 3));
            }
            cluster.runFor(120);
            commands[slow] = cluster.directCommands - before;
            assertEquals(List.of(), cluster.violations);
            for (SimulatedUser user : cluster.users.values()) {
                assertEquals("done", user.endState, user.spec.id());
            }
        }
        assertTrue(commands[1] < commands[0] / 2, commands[1] + " commands instead of " + commands[0]);
    }

    static JobSpec service(int number, int tasks, double cpus) {
        return new JobSpec(
                "job-" + number,
                "any",
                "free",
                JobSpec.Kind.SERVICE,
                JobSpec.Priority.CRITICAL,
                tasks,
                cpus,
                0,
                1,
                "img",
                1,
                null,
                null,
                false,
                false,
                false,
                0,
                0,
                0,
                -1);
    }

    static JobSpec array(int number, String jobClass, JobSpec.Priority priority, int tasks, double runS) {
        return new JobSpec(
                "job-" + number,
                jobClass,
                "free",
                JobSpec.Kind.ARRAY,
                priority,
                tasks,
                2,
                0,
                1,
                "img",
                1,
                null,
                null,
                false,
                false,
                true,
                runS,
                0,
                0,
                -1);
    }

    /** A record that can't be read is still a job that somebody was told is accepted. */
    @Test
    void anUnreadableRecordIsNotUnknown() {
        SimulatedCluster cluster = new SimulatedCluster(34);
        cluster.runFor(3);
        cluster.submit(service(1, 1, 1));
        cluster.runFor(10);
        cluster.controllers.values().forEach(ControllerNode::crash);
        cluster.state.request(
                "POST",
                "/commit",
                MessageCodec.decode(MessageCodec.encode(MessageCodec.map()
                        .set(
                                "apply",
                                MessageCodec.list()
                                        .add(MessageCodec.map()
                                                .put("put", "j/job-1")
                                                .set("v", MessageCodec.map().put("spec", "?")))))),
                (status, body) -> {});
        cluster.controllers.values().forEach(n -> cluster.after(1000, n::start));
        cluster.faults.endedAt = cluster.now;
        cluster.runFor(100);
        assertEquals(List.of(), cluster.violations);
        assertTrue(cluster.now - cluster.users.get("job-1").lastAnswerAt < 10_000, "nobody answers for it");
    }

    /** The checks must be able to fail: with all nodes gone nobody answers for a job. */
    @Test
    void aForgottenJobIsNoticed() {
        SimulatedCluster cluster = new SimulatedCluster(35);
        cluster.runFor(3);
        cluster.submit(service(1, 1, 1));
        cluster.runFor(10);
        cluster.controllers.values().forEach(ControllerNode::crash);
        cluster.faults.endedAt = cluster.now;
        cluster.runFor(74);
        assertEquals(List.of(), cluster.violations);
        cluster.runFor(6);
        assertTrue(cluster.violations.stream().anyMatch(v -> v.startsWith("forgotten")), "nobody noticed");
    }

    /** Twice as much work as room for five minutes, and more of the urgent class than all machines can do. */
    @Test
    void everybodyIsServedWhenThereIsMoreWorkThanRoom() {
        SimulatedCluster cluster = new SimulatedCluster(36);
        SplittableRandom random = cluster.random.split();
        cluster.runFor(3);
        int jobs = 0;
        for (int t = 0; t < 300; t += 5) {
            boolean large = jobs % 12 == 0;
            cluster.submit(array(jobs++, "day", JobSpec.Priority.NORMAL, large ? 40 : 8 + random.nextInt(6), 40));
            cluster.submit(array(jobs++, "night", JobSpec.Priority.IDLE, large ? 30 : 1 + random.nextInt(4), 40));
            cluster.runFor(5);
        }
        cluster.runFor(240);
        for (SimulatedUser user : cluster.users.values()) {
            assertTrue(
                    user.startedAt > 0 && user.startedAt - user.submittedAt < 240_000,
                    user.spec.id() + " of " + user.spec.jobClass() + " with " + user.spec.taskCount()
                            + " tasks began after " + (user.startedAt - user.submittedAt) / 1000 + " s");
        }
        assertEquals(List.of(), cluster.violations);
    }

    @Test
    void theSameSeedPlaysTheSameDay() {
        SimulatedCluster a = day(77, 60);
        SimulatedCluster b = day(77, 60);
        assertEquals(a.tasks.starts, b.tasks.starts);
        assertEquals(a.users.completedJobs, b.users.completedJobs);
        assertEquals(a.now, b.now);
    }

    /** The checks must be able to fail: a worker that outlives its lease breaks a proof that the service relies on. */
    @Test
    void aFalseProofIsCaught() {
        SimulatedCluster cluster = new SimulatedCluster(100, 9, 2, 40);
        cluster.runFor(3);
        for (int i = 0; i < 12; i++) {
            cluster.submit(new JobSpec(
                    "job-" + i,
                    "any",
                    "free",
                    JobSpec.Kind.SERVICE,
                    JobSpec.Priority.CRITICAL,
                    2,
                    2,
                    0,
                    1,
                    "img",
                    1,
                    null,
                    null,
                    false,
                    false,
                    false,
                    0,
                    0,
                    0,
                    -1));
        }
        cluster.runFor(15);
        Worker worker = cluster.workers.get("w-" + cluster.tasks.machineInUse() + ":1");
        worker.ignoreLease();
        cluster.faults.partitionZone(worker.zone(), 60_000); // a single machine would be given up by its deletion
        cluster.runFor(40);
        assertTrue(
                cluster.violations.stream().anyMatch(v -> v.startsWith("ran_twice")),
                "nobody noticed: " + cluster.violations);
    }

    /** Found on the bench: a record deleted while its last change was under way made the leader's next commit fail. */
    @Test
    void aLeaderWithoutTroublesKeepsItsTerm() {
        SimulatedCluster cluster = new SimulatedCluster(6);
        SplittableRandom random = cluster.random.split();
        cluster.runFor(3);
        for (int i = 0; i < 60; i++) {
            cluster.submit(job(i, random));
            cluster.runFor(2);
        }
        assertEquals(1, cluster.state.value("a/term").path("term").asLong());
        assertEquals(List.of(), cluster.violations);
    }

    /** Found on the bench: machines that were returned came back from the lagging list and counted as booting. */
    @Test
    void aReturnedMachineIsNotTakenForABootingOne() {
        SimulatedCluster cluster = new SimulatedCluster(8);
        SplittableRandom random = cluster.random.split();
        cluster.runFor(3);
        cluster.submit(job(1, random));
        cluster.runFor(200);
        assertEquals(List.of(), cluster.cloud.runningMachines(), "nothing to do, so all machines are returned");
        int deletions = cluster.cloud.deletionRequests();
        cluster.runFor(60);
        assertEquals(deletions, cluster.cloud.deletionRequests(), "what is gone is returned once");
        assertTrue(deletions > 0 && deletions <= 5, deletions + " deletions");
    }

    /**
     * Found on a day of our own: an outage during which controllers crash ended every task, for want of answers. Two
     * processes that know of every cancellation are enough to go on answering. When all have ended, nobody knows which
     * jobs were cancelled, so leases must lapse; the operators' meetings need that, where this test once had all tasks
     * outlive the end of all controllers.
     */
    @ParameterizedTest
    @ValueSource(strings = {"leader", "follower", "nobody", "all"})
    void tasksOutliveAnOutageInWhichAControllerCrashes(String who) {
        SimulatedCluster cluster = new SimulatedCluster(12);
        cluster.runFor(3);
        SplittableRandom random = cluster.random.split();
        for (int i = 0; i < 40; i++) {
            JobSpec spec = job(i, random);
            if (spec.service()) {
                cluster.submit(spec);
            }
        }
        cluster.runFor(30);
        int running = cluster.tasks.starts - cluster.tasks.ends;
        int ended = cluster.tasks.ends;
        assertTrue(running > 3, "too little runs: " + running);
        SimulatedUser cancelled = cluster.users.values().stream()
                .filter(u -> cluster.tasks.running(u) > 0)
                .findFirst()
                .orElseThrow();
        long gone = cluster.tasks.running(cancelled);
        cluster.tasks
                .machinesOf(cancelled)
                .forEach(m -> cluster.faults.inboundLoss.add(
                        "w-" + m + ":1")); // so its stops come by another than the leader
        cluster.cancel(cancelled);
        cluster.runFor(0.5);
        assertTrue(cancelled.cancelConfirmedAt > 0, "not confirmed");
        cluster.faults.storeDown = true;
        cluster.runFor(1);
        ControllerNode leader = cluster.leader();
        cluster.controllers.values().stream()
                .filter(n -> who.equals("all") || who.equals("leader") && n == leader)
                .toList()
                .forEach(n -> restart(cluster, n, 4000));
        if (who.equals("follower")) {
            restart(
                    cluster,
                    cluster.controllers.values().stream()
                            .filter(n -> n != leader)
                            .findFirst()
                            .orElseThrow(),
                    4000);
        }
        cluster.runFor(2);
        cluster.faults.inboundLoss.clear();
        cluster.runFor(58); // six leases
        assertEquals(0, cluster.tasks.running(cancelled));
        assertEquals(who.equals("all") ? ended + running : ended + gone, cluster.tasks.ends, "tasks that ended");
        cluster.faults.storeDown = false;
        cluster.state.renewAllLeases(cluster.now);
        cluster.runFor(20);
        assertEquals(running - gone, cluster.tasks.starts - cluster.tasks.ends);
        assertEquals(List.of(), cluster.violations);
    }

    @Test
    void aLeaderIsFoundSoonAfterACrash() {
        SimulatedCluster cluster = new SimulatedCluster(5);
        cluster.runFor(10);
        ControllerNode first = cluster.leader();
        assertTrue(first != null, "nobody leads");
        first.crash();
        cluster.runFor(5);
        ControllerNode second = cluster.leader();
        assertTrue(second != null && second != first, "nobody else leads after 5 s");
        assertFalse(first.up());
    }
}
