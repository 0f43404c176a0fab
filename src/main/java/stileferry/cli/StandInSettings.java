package stileferry.cli;

import java.util.ArrayList;
import java.util.List;
import stileferry.transport.StandInServer;

/**
 * The settings of controllers that run against stand-ins on loopback. Of a range of ports, the first is used by the
 * stand-ins, the next ones are the controllers' ports for users, and the last ones their ports for each other.
 */
final class StandInSettings {
    static final int CONTROLLERS = 3;

    private static final int MIN_SOCKETS = 1000;
    private static final int SOCKETS_PER_MACHINE = 3;
    private static final double MS_PER_S = 1000.0;

    private static final String PEER = """
            {"host_name": "%s", "zone": "a", "peer_addr": "127.0.0.1:%d"}""";

    private static final String SETTINGS =
            """
            {
              "host_name": "%s", "zone": "a",
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
            """;

    private StandInSettings() {}

    /**
     * Returns the settings of one controller as JSON.
     *
     * @param controller the controller's number, from 0
     * @param port the first port of the range
     */
    static String of(int controller, int port, StandInServer.Size size) {
        return SETTINGS.formatted(
                controllerName(controller),
                clientPort(port, controller),
                peerPort(port, controller),
                peers(port, controller),
                port,
                port,
                size.heartbeatIntervalMs() / MS_PER_S,
                size.leaseMs() / MS_PER_S,
                2 * size.leaseMs() / MS_PER_S,
                StandInServer.GANG_ASSEMBLY_TIMEOUT_S,
                StandInServer.GANG_LOSS_DETECTION_S,
                Math.max(MIN_SOCKETS, SOCKETS_PER_MACHINE * size.machines()));
    }

    static String controllerName(int controller) {
        return "node-" + controller;
    }

    static int clientPort(int port, int controller) {
        return port + 1 + controller;
    }

    private static int peerPort(int port, int controller) {
        return port + 1 + CONTROLLERS + controller;
    }

    private static String peers(int port, int controller) {
        List<String> peers = new ArrayList<>();
        for (int other = 0; other < CONTROLLERS; other++) {
            if (other != controller) {
                peers.add(PEER.formatted(controllerName(other), peerPort(port, other)));
            }
        }
        return String.join(", ", peers);
    }
}
