package stileferry.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import stileferry.standin.LinkFaults;
import stileferry.standin.Worker;
import stileferry.transport.StandInServer;

/** Runs stand-ins for the key-value store, the cloud and the workers, to try the service out on one computer. */
@Command(
        name = "stand-ins",
        description = "Writes settings for three controllers and runs stand-ins for all they talk to, on loopback.",
        mixinStandardHelpOptions = true,
        footer = {"", "Example: stileferry stand-ins --dir trial"})
final class StandIns implements Callable<Integer> {
    private static final double MS_PER_S = 1000;
    private static final long HEARTBEAT_INTERVALS_PER_LEASE = 10;

    @Option(names = "--dir", required = true, paramLabel = "DIR", description = "Where node-0.json and so on go.")
    private Path dir;

    @Option(
            names = "--port",
            defaultValue = "7700",
            paramLabel = "PORT",
            description = "The first of seven ports (default ${DEFAULT-VALUE}).")
    private int port;

    @Option(
            names = "--machines",
            defaultValue = "8",
            paramLabel = "N",
            description = "Machines that the cloud has (default ${DEFAULT-VALUE}).")
    private int machines;

    @Option(
            names = "--report-s",
            defaultValue = "0.5",
            paramLabel = "S",
            description =
                    "Seconds between two reports of a worker; a lease is ten times that (default ${DEFAULT-VALUE}).")
    private double heartbeatIntervalS;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Files.createDirectories(dir);
        start(port, dir, size(machines, heartbeatIntervalS));
        System.out.println("stand-ins run; start controllers with: serve --config " + dir.resolve("node-0.json")
                + " (and node-1.json, node-2.json)");
        new CountDownLatch(1).await(); // blocks until the process is killed
        return ExitCode.OK;
    }

    /** Starts a small set of stand-ins and writes settings files of controllers that use them. */
    static StandInServer start(int port, Path dir) throws IOException {
        return start(port, dir, StandInServer.Size.SMALL);
    }

    /** Returns a size with this number of machines and this heartbeat interval; a lease is ten times the interval. */
    static StandInServer.Size size(int machines, double heartbeatIntervalS) {
        long heartbeatIntervalMs = Math.round(heartbeatIntervalS * MS_PER_S);
        return new StandInServer.Size(
                machines, heartbeatIntervalMs, HEARTBEAT_INTERVALS_PER_LEASE * heartbeatIntervalMs);
    }

    /** Starts stand-ins of this size and writes settings files of controllers that use them. */
    static StandInServer start(int port, Path dir, StandInServer.Size size) throws IOException {
        return start(port, dir, size, LinkFaults.NONE, Worker.TaskListener.NO_OP);
    }

    /** Starts stand-ins with fault injection on links and a watcher that is notified of task starts and ends. */
    static StandInServer start(
            int port, Path dir, StandInServer.Size size, LinkFaults faults, Worker.TaskListener watcher)
            throws IOException {
        List<String> addresses = new ArrayList<>();
        List<String> names = new ArrayList<>();
        for (int i = 0; i < StandInSettings.CONTROLLERS; i++) {
            String name = StandInSettings.controllerName(i);
            addresses.add("127.0.0.1:" + StandInSettings.clientPort(port, i));
            names.add(name);
            Files.writeString(dir.resolve(name + ".json"), StandInSettings.of(i, port, size));
        }
        return new StandInServer(port, addresses, names, size, faults, watcher);
    }
}
