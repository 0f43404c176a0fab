package stileferry.coordination;

import java.util.List;
import java.util.Locale;
import stileferry.protocol.MessageCodec;
import stileferry.standin.Worker;
import stileferry.transport.LogLevel;

/**
 * Measures how long and how frequent the reports of machines full of short tasks are, in the simulated cluster. To run
 * it, with JUnit's API on the class path as well, with the number of machines, a multiple of 4:
 * {@code java -cp target/stileferry.jar:target/test-classes stileferry.coordination.ReportMeasurement 32}.
 */
final class ReportMeasurement {
    private static final double HEARTBEAT_INTERVAL_S = 6;
    private static final double WRITES_PER_S = 150;
    private static final int POOLS = 4;
    private static final int TASKS_PER_MACHINE = 4;
    private static final int TASKS_PER_JOB = 64;
    private static final double RUN_S = 20;
    private static final int WARM_UP_S = 120;
    private static final int MEASURED_S = 120;

    private ReportMeasurement() {}

    /** Runs the measurement and prints its figures as one line. */
    public static void main(String[] args) {
        LogLevel.initialize("error");
        int machines = Integer.parseInt(args[0]);
        SimulatedCluster cluster =
                new SimulatedCluster(1, machines / POOLS, HEARTBEAT_INTERVAL_S, 0, WRITES_PER_S * machines / 32);
        cluster.runFor(5);
        keepBusy(cluster, machines, 0);
        cluster.runFor(WARM_UP_S);
        long sequencesBefore = sumOfSequences(cluster);
        int startsBefore = cluster.tasks.starts;
        long bytes = 0;
        int longest = 0;
        for (int second = 0; second < MEASURED_S; second++) {
            cluster.runFor(1);
            for (Worker worker : cluster.workers.values()) {
                int length = MessageCodec.encode(worker.heartbeat()).length;
                bytes += length;
                longest = Math.max(longest, length);
            }
        }
        int workers = cluster.workers.size();
        long reports = sumOfSequences(cluster) - sequencesBefore - (long) MEASURED_S * workers;
        System.out.printf(
                Locale.ROOT,
                "machines %d starts_per_s %.1f statuses_per_machine_s %.3f bytes_mean %d bytes_most %d violations %s%n",
                workers,
                (cluster.tasks.starts - startsBefore) / (double) MEASURED_S,
                reports / (double) MEASURED_S / workers,
                bytes / MEASURED_S / workers,
                longest,
                List.copyOf(cluster.violations));
    }

    /** Submits as much work as the machines do until the next call, which follows after a task's run time. */
    private static void keepBusy(SimulatedCluster cluster, int machines, int firstJob) {
        int jobs = Math.max(1, machines * TASKS_PER_MACHINE / TASKS_PER_JOB);
        for (int job = firstJob; job < firstJob + jobs; job++) {
            cluster.submit(Workloads.array(job, TASKS_PER_JOB, RUN_S));
        }
        cluster.after(Math.round(1000 * RUN_S), () -> keepBusy(cluster, machines, firstJob + jobs));
    }

    /** Returns the number of statuses that all workers have produced: heartbeats and answers to direct requests. */
    private static long sumOfSequences(SimulatedCluster cluster) {
        return cluster.workers.values().stream()
                .mapToLong(worker -> worker.heartbeat().path("log_seq").asLong())
                .sum();
    }
}
