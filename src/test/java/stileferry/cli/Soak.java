package stileferry.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Runs many seeds by hand: {@code java -cp target/stileferry.jar:target/test-classes stileferry.cli.Soak FIRST_SEED
 * SEEDS [PARALLEL_RUNS]}. Every eighth seed has several hundred machines. Prints a line for each seed, the faults and
 * the logs of each run that violated something, and exits with 1 if there is any.
 */
final class Soak {
    private static final int MACHINES = 16;
    private static final int MANY_MACHINES = 300;
    private static final int MANY_MACHINES_ONE_IN = 8;
    private static final long FAULTS_MS = 40_000;
    private static final int DEFAULT_PARALLEL_RUNS = 4;

    private Soak() {}

    /** Runs the seeds given on the command line. */
    public static void main(String[] args) throws Exception {
        long first = Long.parseLong(args[0]);
        int seeds = Integer.parseInt(args[1]);
        int parallel = args.length > 2 ? Integer.parseInt(args[2]) : DEFAULT_PARALLEL_RUNS;
        ExecutorService pool = Executors.newFixedThreadPool(parallel);
        List<Future<SoakRun.Result>> runs = new ArrayList<>();
        for (long seed = first; seed < first + seeds; seed++) {
            runs.add(pool.submit(run(seed)));
            Thread.sleep(300); // so that no two runs choose the same ports
        }
        pool.shutdown();
        int failed = 0;
        for (Future<SoakRun.Result> run : runs) {
            SoakRun.Result result = run.get();
            failed += result.violations().isEmpty() ? 0 : 1;
            print(result);
        }
        System.out.println(seeds + " seeds, " + failed + " failed");
        System.exit(failed == 0 ? 0 : 1);
    }

    private static Callable<SoakRun.Result> run(long seed) {
        int machines = seed % MANY_MACHINES_ONE_IN == 0 ? MANY_MACHINES : MACHINES;
        return () -> {
            Path dir = Files.createTempDirectory("soak-" + seed + "-");
            return SoakRun.run(seed, machines, FAULTS_MS, dir);
        };
    }

    private static void print(SoakRun.Result result) {
        System.out.printf(
                "seed %d: faults %d, jobs %d, starts %d, last answer after %d ms, violations %d%n",
                result.seed(),
                result.faults().size(),
                result.jobs(),
                result.starts(),
                result.slowestAnswerMs(),
                result.violations().size());
        if (!result.violations().isEmpty()) {
            result.faults().forEach(fault -> System.out.println("  " + fault));
            result.violations().forEach(violation -> System.out.println("  VIOLATION " + violation));
            System.out.println(result.logs());
        }
    }

    static {
        // disables JMX for the networking library, as in Daemon
        System.setProperty("javax.management.builder.initial", "none");
    }
}
