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
import stileferry.transport.StandInHost;

/** Runs the stand-ins for key-value store, cloud and workers, for trying the service out on one computer. */
@Command(
        name = "stand-ins",
        description = "Writes settings for three controllers and runs stand-ins for all they talk to, on loopback.",
        mixinStandardHelpOptions = true,
        footer = {"", "Example: stileferry stand-ins --dir trial"})
final class StandIns implements Callable<Integer> {
    private static final int NODES = 3;

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
    private double reportS;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Files.createDirectories(dir);
        start(port, dir, size(machines, reportS));
        System.out.println("stand-ins run; start controllers with: serve --config " + dir.resolve("node-0.json")
                + " (and node-1.json, node-2.json)");
        new CountDownLatch(1).await(); // until the process is killed
        return 0;
    }

    /** Starts stand-ins and writes the settings files of the controllers that fit them. */
    static StandInHost start(int port, Path dir) throws IOException {
        return start(port, dir, StandInHost.Size.SMALL);
    }

    /** So many machines with so long between reports. */
    static StandInHost.Size size(int machines, double reportS) {
        long reportMs = Math.round(reportS * 1000);
        return new StandInHost.Size(machines, reportMs, 10 * reportMs);
    }

    /** The same for a fleet of another size. */
    static StandInHost start(int port, Path dir, StandInHost.Size size) throws IOException {
        return start(port, dir, size, LinkFaults.NONE, Worker.Watcher.NOBODY);
    }

    /** The same with links that may be broken, and somebody who watches the workers' tasks. */
    static StandInHost start(int port, Path dir, StandInHost.Size size, LinkFaults faults, Worker.Watcher watcher)
            throws IOException {
        List<String> clients = new ArrayList<>();
        List<String> names = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            clients.add("127.0.0.1:" + (port + 1 + i));
            names.add("node-" + i);
        }
        for (int i = 0; i < NODES; i++) {
            Files.writeString(dir.resolve("node-" + i + ".json"), settings(port, i, size));
        }
        return new StandInHost(port, clients, names, size, faults, watcher);
    }

    private static String settings(int port, int node, StandInHost.Size size) {
        StringBuilder seeds = new StringBuilder();
        for (int i = 0; i < NODES; i++) {
            if (i != node) {
                seeds.append(seeds.isEmpty() ? "" : ", ")
                        .append(
                                """
                        {"host_name": "node-%d", "zone": "a", "peer_addr": "127.0.0.1:%d"}"""
                                        .formatted(i, port + 1 + NODES + i));
            }
        }
        return """
                {
                  "host_name": "node-%d", "zone": "a",
                  "client_listen": "127.0.0.1:%d", "peer_bind": "127.0.0.1:%d",
                  "seeds": [%s],
                  "outside": {"cloud": "127.0.0.1:%d", "state": "127.0.0.1:%d"},
                  "cluster": {
                    "zones": ["a", "b"],
                    "teams": [{"name": "red", "cpus": 8, "cpus_max": 24}, {"name": "blue"}],
                    "objectives": [],
                    "workers": {"report_s": %s, "lease_s": %s, "cancel_s": %s, "gang_wait_s": %s, "gang_peer_s": %s},
                    "state": {"rps": 500, "write_rps": 200, "value_kb": 8, "txn_ops": 20},
                    "cloud": {"rps": 10, "list_lag_s": 0.5},
                    "machine_limits": {"max_sockets": %d}
                  }
                }
                """
                .formatted(
                        node,
                        port + 1 + node,
                        port + 1 + NODES + node,
                        seeds,
                        port,
                        port,
                        size.reportMs() / 1000.0,
                        size.leaseMs() / 1000.0,
                        2 * size.leaseMs() / 1000.0,
                        StandInHost.GANG_WAIT_S,
                        StandInHost.GANG_PEER_S,
                        Math.max(1000, 3 * size.machines()));
    }
}
