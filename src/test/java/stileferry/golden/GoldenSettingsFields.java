package stileferry.golden;

import java.util.ArrayList;
import java.util.List;
import stileferry.protocol.Settings;
import stileferry.protocol.SettingsReader;

/** Describes parsed settings as text. It is the only golden test class that refers to the settings classes. */
final class GoldenSettingsFields {
    private GoldenSettingsFields() {}

    /** Parses a valid settings file and describes all its values, one value or list entry per line. */
    static String describe(String json) {
        Settings settings = SettingsReader.read(json).settings();
        List<String> lines = new ArrayList<>();
        lines.add("node: " + settings.controllerName());
        lines.add("zone: " + settings.zone());
        lines.add("users: " + settings.clientListen().getHostString() + ":"
                + settings.clientListen().getPort());
        lines.add("controllers: " + settings.peerListen().getHostString() + ":"
                + settings.peerListen().getPort());
        settings.peers().forEach(peer -> lines.add("peer: " + peer.name() + " " + peer.zone() + " " + peer.address()));
        lines.add("cloud: " + settings.cloudAddress());
        lines.add("state: " + settings.keyValueStoreAddress());
        lines.add("zones: " + settings.zones());
        settings.teams()
                .forEach(team -> lines.add("team: " + team.name() + " cpus " + team.guaranteedCpus() + " to "
                        + team.maxCpus() + ", gpus " + team.guaranteedGpus() + " to " + team.maxGpus()));
        settings.objectives()
                .forEach(objective -> lines.add("objective: " + objective.kind() + " " + objective.jobClass() + " "
                        + objective.withinS() + " " + objective.share()));
        addLimits(lines, settings);
        return String.join("\n", lines);
    }

    private static void addLimits(List<String> lines, Settings settings) {
        Settings.WorkerTimings workers = settings.workers();
        lines.add("workers: report " + workers.heartbeatIntervalS() + ", lease " + workers.leaseS() + ", cancel "
                + workers.cancelDeadlineS() + ", gang wait " + workers.gangWaitTimeoutS() + ", gang peer "
                + workers.gangStopDeadlineS());
        Settings.KeyValueStoreLimits state = settings.keyValueStore();
        lines.add("state limits: requests " + state.requestsPerS() + ", writes " + state.writesPerS() + ", value "
                + state.maxValueKb() + ", transaction " + state.maxTransactionOperations());
        Settings.CloudLimits cloud = settings.cloud();
        lines.add("cloud limits: requests " + cloud.requestsPerS() + ", list lag " + cloud.listLagS());
        lines.add("machine: cores " + settings.cores() + ", sockets " + settings.maxSockets());
        lines.add("clock off: " + settings.clockErrorMs());
    }
}
