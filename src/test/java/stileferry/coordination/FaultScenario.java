package stileferry.coordination;

import java.util.function.Consumer;

/** Scenarios in which two or more faults overlap while jobs are submitted and cancelled. */
enum FaultScenario {
    QUOTAS_WHILE_MACHINES_ARE_PARTITIONED(steps -> {
        steps.partitionEveryNthMachine(2, 16_000);
        steps.runFor(1);
        steps.cancelEveryNth(3);
        steps.runFor(1);
        steps.faults.restartLeader(500);
        steps.submitArrays(100, 8);
        steps.runFor(15);
    }),
    QUOTAS_WHILE_MACHINES_HANG(steps -> {
        steps.hangEveryNthMachine(2, 7000);
        steps.cancelEveryNth(2);
        steps.runFor(2);
        steps.faults.restartLeader(4000);
        steps.submitArrays(100, 8);
        steps.runFor(15);
    }),
    TASKS_END_ACROSS_FAILOVERS(steps -> {
        for (int i = 0; i < 6; i++) {
            steps.submitArrays(100 + 4 * i, 4);
            steps.runFor(3);
            steps.faults.restartLeader(300);
            steps.runFor(4);
        }
    }),
    CANCELLATION_AS_THE_STORE_REJECTS_THE_LEADER(steps -> {
        ControllerNode leader = steps.cluster.leader();
        steps.cluster.after(steps.random.nextLong(40), () -> steps.faults.rejectedByStore.add(leader.name()));
        steps.cancelEveryNth(2);
        steps.runFor(1);
        steps.faults.storeOutage(28_000);
        steps.runFor(35);
    }),
    STORE_SLOW_THEN_REJECTING_THEN_DOWN(steps -> {
        steps.faults.storeResponseDelayMs = 900;
        steps.cancelEveryNth(4);
        steps.runFor(5);
        ControllerNode leader = steps.cluster.leader();
        steps.faults.rejectedByStore.add(leader == null ? "n0" : leader.name());
        steps.cancelEveryNth(3);
        steps.runFor(3);
        steps.faults.storeOutage(25_000);
        steps.cancelEveryNth(2);
        steps.runFor(30);
    }),
    OLD_HEARTBEATS_AFTER_NEWER(steps -> {
        steps.faults.duplicateHeartbeatRate = 0.6;
        for (int i = 0; i < 4; i++) {
            steps.submitArrays(100 + 5 * i, 5);
            steps.runFor(6);
            steps.faults.restartLeader(i % 2 == 0 ? 200 : 5000);
            steps.partitionEveryNthMachine(3, 12_000); // longer than a lease, so that incarnations end
            steps.runFor(8);
        }
    }),
    MACHINES_DO_NOT_HEAR_THE_NEXT_LEADER(steps -> {
        steps.faults.inboundLoss.addAll(steps.everyNthMachine(2));
        steps.partitionEveryNthMachine(3, 20_000);
        steps.cancelEveryNth(5);
        steps.faults.restartLeader(5000);
        steps.runFor(22);
    }),
    ALL_CONTROLLERS_DOWN_FOR_LONGER_THAN_A_LEASE(steps -> {
        steps.cancelEveryNth(3);
        steps.runFor(0.3);
        steps.cluster
                .controllers
                .values()
                .forEach(node -> steps.faults.restart(node, 12_000 + steps.random.nextLong(4000)));
        steps.runFor(25);
    }),
    ONLY_COMMIT_RESPONSES_LOST(steps -> {
        steps.faults.unansweredCommitRate = 0.6;
        steps.faults.usersRepeatRequests = true;
        steps.submitArrays(100, 20);
        steps.cancelEveryNth(3);
        steps.runFor(8);
        steps.faults.restartLeader(300);
        steps.runFor(12);
    }),
    ZONE_AND_LEADER_PARTITIONED(steps -> {
        steps.faults.partitionZone("za", 24_000);
        steps.faults.partition(steps.cluster.leader().name(), 24_000);
        steps.runFor(4);
        steps.cancelEveryNth(3);
        steps.runFor(26);
    }),
    LEADER_ISOLATED_WITH_ITS_ZONE_AND_OLD_HEARTBEATS(steps -> {
        steps.faults.replayHeartbeatsToNextLeader = true;
        for (int i = 0; i < 4; i++) {
            steps.submitArrays(100 + 6 * i, 6);
            steps.runFor(4);
            String zone = i % 2 == 0 ? "za" : "zb";
            ControllerNode leader = steps.cluster.leader();
            steps.faults.isolateZone(zone, leader);
            steps.runFor(12 + 0.1 * steps.random.nextInt(60)); // longer than a lease
            steps.cancelEveryNth(5);
            steps.faults.endZoneIsolation(zone, leader);
            steps.runFor(7);
        }
    }),
    HEARTBEATS_LOST_DURING_FAILOVER(steps -> {
        steps.faults.heartbeatLoss.addAll(steps.everyNthMachine(2));
        steps.cancelEveryNth(4);
        steps.runFor(4);
        steps.faults.restartLeader(1000);
        steps.submitArrays(100, 6);
        steps.runFor(25);
    }),
    CANCELLATION_DURING_FAILOVER(steps -> {
        for (int i = 0; i < 5; i++) {
            steps.submitArrays(100 + 6 * i, 6);
            steps.runFor(3);
            steps.faults.restartLeader(200 + 900 * i);
            steps.cluster.after(steps.random.nextLong(2500), () -> steps.cancelEveryNth(3));
            steps.runFor(4);
        }
    }),
    LEADERSHIP_CHANGES_BACK_AND_FORTH(steps -> {
        steps.faults.usersRepeatRequests = true;
        for (int i = 0; i < 4; i++) {
            steps.submitArrays(100 + 5 * i, 5);
            steps.faults.restartLeader(100);
            steps.runFor(2);
            steps.faults.restartLeader(100);
            steps.cancelEveryNth(4);
            steps.runFor(0.3);
            steps.cluster.controllers.values().forEach(ControllerNode::crash);
            ControllerNode first = steps.cluster.controllers.get("n" + i % 3);
            steps.cluster.after(150, first::start);
            steps.cluster.after(2500, steps::startStoppedControllers);
            steps.runFor(6);
        }
    }),
    SCALE_OUT_WHILE_COMMITS_ARE_LATE(steps -> {
        steps.faults.lateCommitRate = 0.4;
        steps.submitArrays(100, 30);
        steps.runFor(7);
        steps.faults.restartLeader(300);
        steps.runFor(10);
    }),
    TEN_FAILOVERS_AND_A_STORE_OUTAGE(steps -> {
        for (int i = 0; i < 10; i++) {
            steps.cancelEveryNth(11 - i);
            steps.faults.restartLeader(i % 2 == 0 ? 500 : 5000);
            if (i == 4) {
                steps.faults.storeOutage(24_000);
            }
            steps.submitArrays(100 + 2 * i, 2);
            steps.runFor(12);
        }
    }),
    OLD_HEARTBEATS_REACH_THE_NEXT_LEADER(steps -> {
        steps.faults.replayHeartbeatsToNextLeader = true;
        for (int i = 0; i < 4; i++) {
            steps.submitArrays(100 + 6 * i, 6);
            steps.runFor(6);
            steps.everyNthMachine(3).forEach(steps.cluster.cloud::reclaim);
            steps.partitionEveryNthMachine(2, 11_000);
            steps.faults.restartLeader(3000);
            steps.cancelEveryNth(5);
            steps.runFor(7);
        }
    }),
    REQUESTS_AS_THE_LAST_TASK_ENDS(steps -> {
        steps.faults.usersRepeatRequests = true;
        for (int i = 100; i < 160; i++) {
            SimulatedUser user = steps.cluster.submit(Workloads.array(i, 1, 2));
            if (i % 2 == 0) { // the task runs for 2 s once it has its image
                steps.cluster.after(2500 + steps.random.nextLong(800), () -> steps.cluster.cancel(user));
            }
            steps.runFor(0.5);
        }
    }),
    COMMANDS_DELAYED_BY_HANGING_MACHINES(steps -> {
        for (int i = 0; i < 5; i++) {
            steps.submitArrays(100 + 8 * i, 8);
            steps.cluster.after(100 + steps.random.nextLong(400), () -> steps.hangEveryNthMachine(2, 6000));
            steps.cluster.after(700, () -> steps.cancelEveryNth(2));
            steps.runFor(9);
        }
    }),
    ZONE_BOUND_JOBS_LOSE_THEIR_MACHINES(steps -> {
        for (int i = 0; i < 4; i++) {
            steps.cluster.cloud.runningMachines().stream().limit(3).toList().forEach(steps.cluster.cloud::reclaim);
            steps.runFor(1);
            steps.faults.restartLeader(400);
            steps.faults.partitionZone(i % 2 == 0 ? "za" : "zb", 6000);
            steps.runFor(12);
        }
    });

    private final Consumer<ScenarioSteps> script;

    FaultScenario(Consumer<ScenarioSteps> script) {
        this.script = script;
    }

    void run(SimulatedCluster cluster) {
        script.accept(new ScenarioSteps(cluster));
    }
}
