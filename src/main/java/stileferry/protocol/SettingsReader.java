package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads and validates the settings file; collects all problems instead of stopping at the first. */
public final class SettingsReader {
    /** The minimum size limit of values: enough for a record with one event, and for a job's record. */
    private static final double MIN_VALUE_KB = 1;

    private static final int MIN_TRANSACTION_OPERATIONS = 3;

    private static final int MIN_SOCKETS = 16;

    private final List<String> problems = new ArrayList<>();

    private SettingsReader() {}

    /** The settings, or null and the problems found. */
    public record Result(Settings settings, List<String> problems) {}

    /** Reads settings from the JSON text of a settings file. */
    public static Result read(String json) {
        JsonNode root;
        try {
            root = JsonText.read(json);
        } catch (InvalidJsonException e) {
            return new Result(null, List.of(e.getMessage()));
        }
        if (root == null || !root.isObject()) {
            return new Result(null, List.of("the settings must be a JSON object"));
        }
        SettingsReader reader = new SettingsReader();
        Settings settings = reader.settings(root);
        return new Result(reader.problems.isEmpty() ? settings : null, List.copyOf(reader.problems));
    }

    private Settings settings(JsonNode root) {
        String controllerName = text(root, "", "host_name");
        JsonNode cluster = object(root, "cluster");
        JsonNode outside = object(root, "outside");
        JsonNode workers = object(cluster, "workers");
        JsonNode state = object(cluster, "state");
        JsonNode cloud = object(cluster, "cloud");
        JsonNode limits = object(cluster, "machine_limits");
        return new Settings(
                controllerName,
                text(root, "", "zone"),
                address(root, "", "client_listen"),
                address(root, "", "peer_bind"),
                peers(root, controllerName),
                hostPort(outside, "outside.", "cloud"),
                hostPort(outside, "outside.", "state"),
                zones(cluster),
                teams(cluster),
                objectives(cluster),
                new Settings.WorkerTimings(
                        positive(workers, "cluster.workers.", "report_s"),
                        positive(workers, "cluster.workers.", "lease_s"),
                        positive(workers, "cluster.workers.", "cancel_s"),
                        optional(workers, "cluster.workers.", "gang_wait_s"),
                        optional(workers, "cluster.workers.", "gang_peer_s")),
                new Settings.KeyValueStoreLimits(
                        lowerOfCurrentAndNext(state, "rps", 0),
                        lowerOfCurrentAndNext(state, "write_rps", 0),
                        lowerOfCurrentAndNext(state, "value_kb", MIN_VALUE_KB),
                        (int) lowerOfCurrentAndNext(state, "txn_ops", MIN_TRANSACTION_OPERATIONS)),
                new Settings.CloudLimits(
                        positive(cloud, "cluster.cloud.", "rps"), atLeast(cloud, "cluster.cloud.", "list_lag_s", 0)),
                limits.path("cores").isMissingNode() ? 1 : positive(limits, "cluster.machine_limits.", "cores"),
                (int) atLeast(limits, "cluster.machine_limits.", "max_sockets", MIN_SOCKETS),
                cluster.path("clock_off_ms").isMissingNode() ? -1 : atLeast(cluster, "cluster.", "clock_off_ms", 0));
    }

    /**
     * Reads a limit of the key-value store: the lower of the current value and the next one, which applies without
     * notice.
     */
    private double lowerOfCurrentAndNext(JsonNode state, String name, double min) {
        double current = limit(state, "cluster.state.", name, min);
        JsonNode next = state.path("next");
        return next.path(name).isMissingNode()
                ? current
                : Math.min(current, limit(next, "cluster.state.next.", name, min));
    }

    private double limit(JsonNode limits, String pathPrefix, String name, double min) {
        return min == 0 ? positive(limits, pathPrefix, name) : atLeast(limits, pathPrefix, name, min);
    }

    private List<Settings.Peer> peers(JsonNode root, String self) {
        List<Settings.Peer> peers = new ArrayList<>();
        Set<String> names = new HashSet<>(Set.of(self));
        int index = 0;
        for (JsonNode seed : array(root, "", "seeds")) {
            String pathPrefix = "seeds[" + index++ + "].";
            String name = text(seed, pathPrefix, "host_name");
            if (!names.add(name)) {
                problems.add(pathPrefix + "host_name: '" + name + "' is named twice");
            }
            peers.add(new Settings.Peer(name, text(seed, pathPrefix, "zone"), hostPort(seed, pathPrefix, "peer_addr")));
        }
        return List.copyOf(peers);
    }

    private List<String> zones(JsonNode cluster) {
        List<String> zones = new ArrayList<>();
        for (JsonNode zone : array(cluster, "cluster.", "zones")) {
            if (zone.isTextual() && !zone.textValue().isEmpty()) {
                zones.add(zone.textValue());
            } else {
                problems.add("cluster.zones: must hold names");
            }
        }
        return List.copyOf(zones);
    }

    private List<Settings.Team> teams(JsonNode cluster) {
        List<Settings.Team> teams = new ArrayList<>();
        int index = 0;
        for (JsonNode team : array(cluster, "cluster.", "teams")) {
            String pathPrefix = "cluster.teams[" + index++ + "].";
            teams.add(new Settings.Team(
                    text(team, pathPrefix, "name"),
                    optional(team, pathPrefix, "cpus"),
                    optional(team, pathPrefix, "cpus_max"),
                    optional(team, pathPrefix, "gpus"),
                    optional(team, pathPrefix, "gpus_max")));
        }
        return List.copyOf(teams);
    }

    private List<Settings.ServiceLevelObjective> objectives(JsonNode cluster) {
        List<Settings.ServiceLevelObjective> objectives = new ArrayList<>();
        for (JsonNode objective : cluster.path("objectives")) {
            objectives.add(new Settings.ServiceLevelObjective(
                    objective.path("kind").asText(""),
                    objective.path("class").asText(""),
                    objective.path("within_s").asDouble(0),
                    objective.path("share").asDouble(0)));
        }
        return List.copyOf(objectives);
    }

    private JsonNode object(JsonNode parent, String name) {
        JsonNode node = parent.path(name);
        if (!node.isObject()) {
            problems.add(name + ": missing or not an object");
            return MissingNode.getInstance();
        }
        return node;
    }

    private JsonNode array(JsonNode parent, String pathPrefix, String name) {
        JsonNode node = parent.path(name);
        if (!node.isArray()) {
            problems.add(pathPrefix + name + ": missing or not a list");
        }
        return node;
    }

    private String text(JsonNode parent, String pathPrefix, String name) {
        JsonNode node = parent.path(name);
        if (!node.isTextual() || node.textValue().isBlank()) {
            problems.add(pathPrefix + name + ": missing or not a text");
            return "";
        }
        return node.textValue();
    }

    private String hostPort(JsonNode parent, String pathPrefix, String name) {
        String text = text(parent, pathPrefix, name);
        if (!text.isEmpty() && parseAddress(text) == null) {
            problems.add(pathPrefix + name + ": '" + text + "' is not ADDRESS:PORT");
        }
        return text;
    }

    private InetSocketAddress address(JsonNode parent, String pathPrefix, String name) {
        return parseAddress(hostPort(parent, pathPrefix, name));
    }

    /** Parses an address such as "10.0.0.1:8080"; returns null if the text is not of this form. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return null;
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return port < 1 || port > 65535 ? null : new InetSocketAddress(text.substring(0, colon), port);
        } catch (NumberFormatException e) {
            return null;
        }
    }

    private double optional(JsonNode parent, String pathPrefix, String name) {
        return parent.path(name).isMissingNode() ? 0 : atLeast(parent, pathPrefix, name, 0);
    }

    private double positive(JsonNode parent, String pathPrefix, String name) {
        double value = atLeast(parent, pathPrefix, name, 0);
        if (value == 0) {
            problems.add(pathPrefix + name + ": must be above 0");
        }
        return value;
    }

    private double atLeast(JsonNode parent, String pathPrefix, String name, double min) {
        JsonNode node = parent.path(name);
        if (!node.isNumber() || !Double.isFinite(node.doubleValue()) || node.doubleValue() < min) {
            problems.add(pathPrefix + name + ": missing, or not a number of at least " + min);
            return Math.max(1, min);
        }
        return node.doubleValue();
    }
}
