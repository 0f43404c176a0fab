package stileferry.coordination;

import java.util.List;
import java.util.SplittableRandom;

/** The steps that the scenarios of {@link FaultScenario} are made of. */
final class ScenarioSteps {
    final SimulatedCluster cluster;
    final FaultInjection faults;
    final SplittableRandom random;

    ScenarioSteps(SimulatedCluster cluster) {
        this.cluster = cluster;
        this.faults = cluster.faults;
        this.random = cluster.random.split();
    }

    void runFor(double seconds) {
        cluster.runFor(seconds);
    }

    /** Submits arrays of normal priority, numbered from here. */
    void submitArrays(int from, int jobs) {
        for (int i = from; i < from + jobs; i++) {
            cluster.submit(Workloads.array(i, 1 + i % 3, 3 + i % 9));
        }
    }

    /** Cancels one of so many of the jobs that run. */
    void cancelEveryNth(int share) {
        cluster.users.values().stream()
                .filter(u -> u.accepted && u.endState == null && cluster.tasks.running(u) > 0)
                .filter(u -> Integer.parseInt(u.spec.id().substring(4)) % share == 0)
                .toList()
                .forEach(cluster::cancel);
    }

    /** The addresses of one of so many of the machines. */
    List<String> everyNthMachine(int share) {
        return cluster.cloud.runningMachines().stream()
                .filter(m -> Integer.parseInt(m.substring(m.length() - 3)) % share == 0)
                .map(SimulatedMachines::address)
                .toList();
    }

    void partitionEveryNthMachine(int share, long ms) {
        everyNthMachine(share).forEach(addr -> faults.partition(addr, ms));
    }

    void hangEveryNthMachine(int share, long ms) {
        everyNthMachine(share).forEach(addr -> faults.hang(addr, ms));
    }

    void startAllControllers() {
        cluster.controllers.values().stream().filter(node -> !node.up()).forEach(ControllerNode::start);
    }
}
