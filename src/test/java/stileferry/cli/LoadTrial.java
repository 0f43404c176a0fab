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
 * Not a test, but a tool: three controllers as processes, started by the run line of deploy/service.toml, against the
 * stand-ins at a large fleet's rates, on loopback. Prints the processor time that each process used in each phase.
 *
 * <p>Arguments: machines, seconds between heartbeats, seconds of the steady phase, then options for the Java runtime.
 */
final class LoadTrial {
    private static final int ASKERS = 6;
    private static final int SERVICES = 100;
    private static final int TASKS = 6;
    private static final byte[] NOTHING = new byte[0];

    private final Path dir = Files.createTempDirectory("load");
    private final int port = Ports.free(7);
    private final List<String> options;
    private final Process[] nodes = new Process[3];
    private final List<String> addrs = new ArrayList<>();
    private final Map<String, Long> live = new ConcurrentHashMap<>();
    private final AtomicInteger polls = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private volatile boolean over;
    private int submitted;

    private LoadTrial(List<String> options) throws IOException {
        this.options = options;
        for (int i = 0; i < 3; i++) {
            addrs.add("127.0.0.1:" + (port + 1 + i));
        }
    }

    public static void main(String[] args) throws Exception {
        new LoadTrial(Arrays.asList(args).subList(3, args.length))
                .play(Integer.parseInt(args[0]), Double.parseDouble(args[1]), Integer.parseInt(args[2]));
        System.exit(0);
    }

    @SuppressWarnings("try") // the stand-ins run beside the body
    private void play(int machines, double reportS, int seconds) throws Exception {
        try (StandInServer standIns = StandIns.start(port, dir, StandIns.size(machines, reportS));
                ApiClient user = new ApiClient(addrs)) {
            for (int i = 0; i < 3; i++) {
                start(i);
            }
            await(user, "/ready");
            print("start to ready");
            for (int i = 0; i < SERVICES; i++) {
                submit(user, JobSpec.Kind.SERVICE, JobSpec.Priority.CRITICAL);
            }
            print("services accepted");
            for (int i = 0; i < ASKERS; i++) {
                new Thread(this::ask).start();
            }
            for (int i = 0; i < machines / 4; i++) {
                submit(user, JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL);
            }
            print("burst of " + machines / 4 + " arrays accepted");
            arrays(user, 20);
            print("20 s after it");
            arrays(user, seconds);
            print(seconds + " s steady");
            int leader = leader(user);
            nodes[leader].destroyForcibly().waitFor();
            await(user, "/work/job-0");
            print("leader killed, next one answers");
            start(leader);
            arrays(user, 15);
            print("15 s after that");
        } finally {
            over = true;
            for (Process process : nodes) {
                process.destroyForcibly();
            }
        }
    }

    /** Three arrays a second for so long. */
    private void arrays(ApiClient user, int seconds) throws InterruptedException {
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
                .tasks(TASKS)
                .cpus(4)
                .image("img-" + submitted % 8)
                .imageGb(0.1)
                .allowsSpot(true)
                .runS(12)
                .build();
        if (user.sendWithRetries("POST", "/work", MessageCodec.encode(job.write()), 60_000)
                        .status()
                <= 201) {
            live.put(id, System.nanoTime());
        }
    }

    /** Polls every live job about every five seconds, together with the other askers. */
    private void ask() {
        try (ApiClient user = new ApiClient(addrs)) {
            while (!over) {
                long now = System.nanoTime();
                for (Map.Entry<String, Long> entry : live.entrySet()) {
                    if (now - entry.getValue() > 5_000_000_000L
                            && live.replace(entry.getKey(), entry.getValue(), now)) {
                        ApiClient.Response answer = user.sendOnce("GET", "/work/" + entry.getKey(), NOTHING);
                        polls.incrementAndGet();
                        failed.addAndGet(answer.status() == 200 ? 0 : 1);
                        if (answer.status() == 200
                                && answer.body().path("tide").asText().equals("done")) {
                            live.remove(entry.getKey());
                        }
                    }
                }
                Thread.sleep(20);
            }
        } catch (IOException | InterruptedException e) {
            System.err.println(e);
        }
    }

    private void start(int node) throws IOException {
        String line = Files.readAllLines(Path.of("deploy/service.toml")).stream()
                .filter(text -> text.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> command = new ArrayList<>(List.of("taskset", "-c", String.valueOf(node)));
        command.addAll(Arrays.asList(
                line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
        command.addAll(4, options);
        command.replaceAll(word -> word.replace("%n", String.valueOf(node)));
        command.add(dir.resolve("node-" + node + ".json").toString());
        nodes[node] = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(new File("/tmp/load-" + node + ".log")))
                .start();
    }

    private int leader(ApiClient user) throws InterruptedException {
        String name = user.sendWithRetries("GET", "/admin/leader", NOTHING, 10_000)
                .body()
                .path("leader")
                .asText();
        return Integer.parseInt(name.substring(name.length() - 1));
    }

    private static void await(ApiClient user, String path) throws InterruptedException {
        int status = 0;
        for (int i = 0; i < 600 && status != 200 && status != 404; i++) {
            status = user.sendOnce("GET", path, NOTHING).status();
            Thread.sleep(20);
        }
    }

    private long last = System.nanoTime();
    private final long[] used = new long[3];

    private void print(String phase) throws IOException {
        StringBuilder line = new StringBuilder(String.format(
                "%-36s %6.1f s, polls %5d, failed %3d; CPU ms:",
                phase, (System.nanoTime() - last) / 1e9, polls.getAndSet(0), failed.getAndSet(0)));
        last = System.nanoTime();
        for (int i = 0; i < 3; i++) {
            Path stat = Path.of("/proc/" + nodes[i].pid() + "/stat");
            long ms = 0;
            if (Files.exists(stat)) {
                String[] fields = Files.readString(stat).split(" ");
                ms = 10 * (Long.parseLong(fields[13]) + Long.parseLong(fields[14]));
            }
            line.append(String.format(" %6d", ms - used[i]));
            used[i] = ms;
        }
        System.out.println(line);
    }
}
