package stileferry.coordination;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import stileferry.standin.Worker;

/** Injects faults at random, each for a random time: crashes, partitions, losses, delays, outages. */
final class ChaosFaults {
    private final SimulatedCluster cluster;
    private final FaultInjection faults;
    private final SplittableRandom random;

    ChaosFaults(SimulatedCluster cluster, SplittableRandom random) {
        this.cluster = cluster;
        this.faults = cluster.faults;
        this.random = random;
    }

    /** Injects one fault. */
    void inject() {
        List<ControllerNode> all = List.copyOf(cluster.controllers.values());
        ControllerNode controller = all.get(random.nextInt(3));
        String name = controller.name();
        List<String> machines = cluster.cloud.runningMachines();
        String machine = machines.isEmpty() ? null : machines.get(random.nextInt(machines.size()));
        String addr = SimulatedMachines.address(machine);
        switch (random.nextInt(32)) {
            case 0, 1 -> faults.restart(controller, random.nextBoolean() ? 300 : 5000);
            case 2 -> all.forEach(each -> faults.restart(each, 1000 + random.nextLong(4000)));
            case 3 -> faults.partition(name, randomDurationMs(20_000));
            case 4 -> faults.partition(addr, randomDurationMs(20_000));
            case 5 -> faults.storeOutage(randomDurationMs(15_000));
            case 6 -> addTemporarily(faults.rejectedByStore, name, randomDurationMs(20_000));
            case 7 -> reclaimWithoutNotice(machine);
            case 8 -> failTasksOn(addr);
            case 9 -> addTemporarily(faults.inboundLoss, addr, randomDurationMs(40_000));
            case 10 -> addTemporarily(faults.partitionedFromControlPlane, name, randomDurationMs(30_000));
            case 11 -> refusePeerConnections();
            case 12 -> delayInbound(name);
            case 13 -> delayStoreResponses();
            case 14 -> restartAllAtOnce(all, controller);
            case 16, 17 -> partitionZoneAndRestartLeader();
            case 18, 19 -> throttle(random.nextBoolean() ? all : List.of(controller));
            case 20 -> delayCommits();
            case 21 -> loseCommitResponses();
            case 22 -> addTemporarily(faults.heartbeatLoss, addr, randomDurationMs(30_000));
            case 23 -> faults.hang(addr, randomDurationMs(25_000));
            case 24 -> replayHeartbeats();
            case 25 -> rejectLeaderThenEverybody();
            case 26 -> all.forEach(each -> faults.restart(each, 5000 + random.nextLong(12_000))); // over a lease
            case 27 -> cancelDuringFailover();
            case 28, 29, 30, 31 -> breakLink();
            default -> loseResponses();
        }
    }

    /** A second at least, and so many milliseconds more at most. */
    private long randomDurationMs(long ms) {
        return 1000 + random.nextLong(ms);
    }

    private void addTemporarily(Set<String> affected, String host, long ms) {
        affected.add(host);
        cluster.after(ms, () -> affected.remove(host));
    }

    private void reclaimWithoutNotice(String machine) {
        if (machine != null) {
            cluster.cloud.reclaim(machine);
        }
    }

    private void failTasksOn(String addr) {
        Worker faulty = cluster.workers.get(addr);
        if (faulty != null) {
            faulty.setFaulty(true);
            cluster.after(15_000, () -> faulty.setFaulty(false));
        }
    }

    private void refusePeerConnections() {
        faults.peerConnectionsRefused = true;
        cluster.after(randomDurationMs(20_000), () -> faults.peerConnectionsRefused = false);
    }

    private void delayInbound(String name) {
        faults.inboundDelayMs.put(name, 400L);
        cluster.after(randomDurationMs(20_000), () -> faults.inboundDelayMs.remove(name));
    }

    private void delayStoreResponses() {
        faults.storeResponseDelayMs = 30 * 20;
        cluster.after(randomDurationMs(30_000), () -> faults.storeResponseDelayMs = 0);
    }

    /** All are back at once, and one restarts again while the others may just be electing a leader. */
    private void restartAllAtOnce(List<ControllerNode> all, ControllerNode again) {
        all.forEach(each -> faults.restart(each, 100 + random.nextLong(200)));
        cluster.after(500 + random.nextLong(2000), () -> faults.restart(again, 100));
    }

    /** A zone is partitioned, and the leader may crash meanwhile. */
    private void partitionZoneAndRestartLeader() {
        faults.partitionZone(random.nextBoolean() ? "za" : "zb", randomDurationMs(25_000));
        ControllerNode leader = cluster.leader();
        if (leader != null && random.nextBoolean()) {
            cluster.after(random.nextLong(15_000), () -> faults.restart(leader, random.nextBoolean() ? 200 : 5000));
        }
    }

    /** Controllers are given little processor time. */
    private void throttle(List<ControllerNode> throttled) {
        for (ControllerNode each : throttled) {
            faults.eventLoopTaskMs.put(each.name(), 5 + random.nextLong(60));
        }
        cluster.after(randomDurationMs(30_000), faults.eventLoopTaskMs::clear);
    }

    private void delayCommits() {
        faults.lateCommitRate = 0.1 + 0.4 * random.nextDouble();
        cluster.after(randomDurationMs(15_000), () -> faults.lateCommitRate = 0);
    }

    private void loseCommitResponses() {
        faults.unansweredCommitRate = 0.1 + 0.4 * random.nextDouble();
        cluster.after(randomDurationMs(15_000), () -> faults.unansweredCommitRate = 0);
    }

    private void replayHeartbeats() {
        faults.replayHeartbeatsToNextLeader = true;
        cluster.after(randomDurationMs(30_000), () -> faults.replayHeartbeatsToNextLeader = false);
    }

    private void loseResponses() {
        faults.responseLossRate = 0.2;
        cluster.after(4000, () -> faults.responseLossRate = 0);
    }

    /** The store rejects the leader, and then everybody for longer than a cancellation may take. */
    private void rejectLeaderThenEverybody() {
        ControllerNode leader = cluster.leader();
        if (leader == null) {
            return;
        }
        faults.rejectedByStore.add(leader.name());
        cancelRandomJobs();
        cluster.after(1000 + random.nextLong(4000), () -> {
            faults.storeDown = true;
            cancelRandomJobs();
            cluster.after(15_000 + random.nextLong(15_000), faults::endStoreOutage);
        });
        cluster.after(14_000, () -> faults.rejectedByStore.remove(leader.name()));
    }

    private void cancelDuringFailover() {
        ControllerNode leader = cluster.leader();
        if (leader != null) {
            cancelRandomJobs();
            cluster.after(random.nextLong(300), () -> faults.restart(leader, random.nextBoolean() ? 300 : 5000));
        }
    }

    private void cancelRandomJobs() {
        List<SimulatedUser> open = cluster.users.values().stream()
                .filter(u -> u.accepted && u.endState == null && !u.cancelRequested)
                .toList();
        for (int i = 0; i < Math.min(3, open.size()); i++) {
            cluster.cancel(open.get(random.nextInt(open.size())));
        }
    }

    /** One direction of a link, or both, or a link that flaps. */
    private void breakLink() {
        String controller = "n" + random.nextInt(3);
        List<String> machines = cluster.cloud.runningMachines();
        List<String> ends = List.of(
                SimulatedCluster.STORE,
                SimulatedNetwork.WORKERS,
                SimulatedNetwork.WORKERS,
                "n" + random.nextInt(3),
                SimulatedMachines.address(machines.isEmpty() ? "none" : machines.get(0)));
        String end = ends.get(random.nextInt(ends.size()));
        SimulatedNetwork.LinkFault fault = SimulatedNetwork.LinkFault.values()[random.nextInt(3)];
        int directions = random.nextInt(3);
        int times = random.nextInt(3) == 0 ? 4 : 1;
        long periodMs = times == 1 ? randomDurationMs(30_000) : randomDurationMs(6000);
        for (int i = 0; i < times; i++) {
            cluster.after(2 * i * periodMs, () -> {
                if (directions != 1) {
                    cluster.network.injectFault(controller, end, fault);
                }
                if (directions != 2) {
                    cluster.network.injectFault(end, controller, fault);
                }
            });
            cluster.after((2 * i + 1) * periodMs, () -> cluster.network.restoreBothWays(controller, end));
        }
    }
}
