package stileferry.coordination;

import java.util.List;
import java.util.SplittableRandom;

/** The steps of which the scenarios of {@link FaultScenario} consist. */
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

    /** Submits job arrays of normal priority with consecutive numbers. */
    void submitArrays(int firstNumber, int jobs) {
        for (int i = firstNumber; i < firstNumber + jobs; i++) {
            cluster.submit(Workloads.array(i, 1 + i % 3, 3 + i % 9));
        }
    }

    /** Cancels the running jobs whose number is a multiple of {@code step}. */
    void cancelEveryNth(int step) {
        cluster.users.values().stream()
                .filter(u -> u.accepted && u.endState == null && cluster.tasks.running(u) > 0)
                .filter(u -> Integer.parseInt(u.spec.id().substring(4)) % step == 0)
                .toList()
                .forEach(cluster::cancel);
    }

    /** Returns the agent addresses of the running machines whose number is a multiple of {@code step}. */
    List<String> everyNthMachine(int step) {
        return cluster.cloud.runningMachines().stream()
                .filter(m -> Integer.parseInt(m.substring(m.length() - 3)) % step == 0)
                .map(SimulatedMachines::address)
                .toList();
    }

    void partitionEveryNthMachine(int step, long ms) {
        everyNthMachine(step).forEach(addr -> faults.partition(addr, ms));
    }

    void hangEveryNthMachine(int step, long ms) {
        everyNthMachine(step).forEach(addr -> faults.hang(addr, ms));
    }

    void startStoppedControllers() {
        cluster.controllers.values().stream().filter(node -> !node.up()).forEach(ControllerNode::start);
    }
}
