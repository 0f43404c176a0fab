package stileferry.cli;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import stileferry.protocol.JobSpec;
import stileferry.protocol.JobSpecBuilder;
import stileferry.protocol.MessageCodec;
import stileferry.transport.ApiClient;
import stileferry.transport.StandInServer;

/**
 * A measurement tool, not a test. Runs three controllers as processes on loopback, started with the run line of
 * deploy/service.toml, against stand-ins at the request rates of a large cluster. Prints the CPU time that each process
 * used in each phase.
 *
 * <p>Arguments: machines, seconds between heartbeats, seconds of the steady phase, then options for the JVM.
 */
final class LoadMeasurement {
    private static final int POLLERS = 6;
    private static final int SERVICE_JOBS = 100;
    private static final int TASKS_PER_JOB = 6;
    private static final byte[] NO_BODY = new byte[0];

    private final Path dir = Files.createTempDirectory("load");
    private final int port = Ports.findFreeRange(7);
    private final List<String> jvmOptions;
    private final Process[] controllerProcesses = new Process[3];
    private final List<String> addresses = new ArrayList<>();
    private final Map<String, Long> lastPollNanosByUnfinishedJob = new ConcurrentHashMap<>();
    private final AtomicInteger polls = new AtomicInteger();
    private final AtomicInteger failedPolls = new AtomicInteger();
    private volatile boolean stopped;
    private int submitted;

    private LoadMeasurement(List<String> jvmOptions) throws IOException {
        this.jvmOptions = jvmOptions;
        for (int i = 0; i < 3; i++) {
            addresses.add("127.0.0.1:" + (port + 1 + i));
        }
    }

    public static void main(String[] args) throws Exception {
        new LoadMeasurement(Arrays.asList(args).subList(3, args.length))
                .run(Integer.parseInt(args[0]), Double.parseDouble(args[1]), Integer.parseInt(args[2]));
        System.exit(0);
    }

    @SuppressWarnings("try") // the stand-ins only need to run meanwhile
    private void run(int machines, double heartbeatIntervalS, int steadyS) throws Exception {
        try (StandInServer standIns = StandIns.start(port, dir, StandIns.size(machines, heartbeatIntervalS));
                ApiClient user = new ApiClient(addresses)) {
            for (int i = 0; i < 3; i++) {
                startController(i);
            }
            awaitAnswered(user, "/ready");
            printPhase("start to ready");
            for (int i = 0; i < SERVICE_JOBS; i++) {
                submit(user, JobSpec.Kind.SERVICE, JobSpec.Priority.CRITICAL);
            }
            printPhase("services accepted");
            for (int i = 0; i < POLLERS; i++) {
                new Thread(this::pollUnfinishedJobs).start();
            }
            for (int i = 0; i < machines / 4; i++) {
                submit(user, JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL);
            }
            printPhase("burst of " + machines / 4 + " arrays accepted");
            submitArrays(user, 20);
            printPhase("20 s after the burst");
            submitArrays(user, steadyS);
            printPhase(steadyS + " s steady");
            int leader = leaderNumber(user);
            controllerProcesses[leader].destroyForcibly().waitFor();
            awaitAnswered(user, "/work/job-0");
            printPhase("leader killed, next leader responds");
            startController(leader);
            submitArrays(user, 15);
            printPhase("15 s after the failover");
        } finally {
            stopped = true;
            for (Process process : controllerProcesses) {
                process.destroyForcibly();
            }
        }
    }

    /** Submits three arrays per second. */
    private void submitArrays(ApiClient user, int seconds) throws InterruptedException {
        for (int i = 0; i < 3 * seconds; i++) {
            submit(user, JobSpec.Kind.ARRAY, JobSpec.Priority.IDLE);
            Thread.sleep(333);
        }
    }

    private void submit(ApiClient user, JobSpec.Kind kind, JobSpec.Priority priority) throws InterruptedException {
        String id = "job-" + ++submitted;
        JobSpec job = JobSpecBuilder.of(kind, id)
                .team("blue")
                .priority(priority)
                .tasks(TASKS_PER_JOB)
                .cpus(4)
                .image("img-" + submitted % 8)
                .imageGb(0.1)
                .allowsSpot(true)
                .runS(12)
                .build();
        if (user.sendWithRetries("POST", "/work", MessageCodec.encode(job.write()), 60_000)
                        .status()
                <= 201) {
            lastPollNanosByUnfinishedJob.put(id, System.nanoTime());
        }
    }

    /** Polls each unfinished job about every five seconds, sharing the jobs with the other pollers. */
    private void pollUnfinishedJobs() {
        try (ApiClient user = new ApiClient(addresses)) {
            while (!stopped) {
                long now = System.nanoTime();
                for (Map.Entry<String, Long> entry : lastPollNanosByUnfinishedJob.entrySet()) {
                    if (now - entry.getValue() > 5_000_000_000L
                            && lastPollNanosByUnfinishedJob.replace(entry.getKey(), entry.getValue(), now)) {
                        ApiClient.Response response = user.sendOnce("GET", "/work/" + entry.getKey(), NO_BODY);
                        polls.incrementAndGet();
                        failedPolls.addAndGet(response.status() == 200 ? 0 : 1);
                        if (response.status() == 200
                                && response.body().path("tide").asText().equals("done")) {
                            lastPollNanosByUnfinishedJob.remove(entry.getKey());
                        }
                    }
                }
                Thread.sleep(20);
            }
        } catch (IOException | InterruptedException e) {
            System.err.println(e);
        }
    }

    private void startController(int node) throws IOException {
        String line = Files.readAllLines(Path.of("deploy/service.toml")).stream()
                .filter(text -> text.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> command = new ArrayList<>(List.of("taskset", "-c", String.valueOf(node)));
        command.addAll(Arrays.asList(
                line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
        command.addAll(4, jvmOptions);
        command.replaceAll(word -> word.replace("%n", String.valueOf(node)));
        command.add(dir.resolve("node-" + node + ".json").toString());
        controllerProcesses[node] = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(new File("/tmp/load-" + node + ".log")))
                .start();
    }

    private int leaderNumber(ApiClient user) throws InterruptedException {
        String name = user.sendWithRetries("GET", "/admin/leader", NO_BODY, 10_000)
                .body()
                .path("leader")
                .asText();
        return Integer.parseInt(name.substring(name.length() - 1));
    }

    private static void awaitAnswered(ApiClient user, String path) throws InterruptedException {
        int status = 0;
        for (int i = 0; i < 600 && status != 200 && status != 404; i++) {
            status = user.sendOnce("GET", path, NO_BODY).status();
            Thread.sleep(20);
        }
    }

    private long phaseStartNanos = System.nanoTime();
    private final long[] previousCpuMs = new long[3];

    private void printPhase(String phase) throws IOException {
        StringBuilder line = new StringBuilder(String.format(
                "%-36s %6.1f s, polls %5d, failed %3d; CPU ms:",
                phase, (System.nanoTime() - phaseStartNanos) / 1e9, polls.getAndSet(0), failedPolls.getAndSet(0)));
        phaseStartNanos = System.nanoTime();
        for (int i = 0; i < 3; i++) {
            Path stat = Path.of("/proc/" + controllerProcesses[i].pid() + "/stat");
            long ms = 0;
            if (Files.exists(stat)) {
                String[] fields = Files.readString(stat).split(" ");
                ms = 10 * (Long.parseLong(fields[13]) + Long.parseLong(fields[14]));
            }
            line.append(String.format(" %6d", ms - previousCpuMs[i]));
            previousCpuMs[i] = ms;
        }
        System.out.println(line);
    }
}
