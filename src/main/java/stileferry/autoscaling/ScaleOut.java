package stileferry.autoscaling;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.Lists;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.heartbeat.HeartbeatHandler;
import stileferry.protocol.CloudMessages;
import stileferry.protocol.Environment;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MachineType;
import stileferry.protocol.OperatorSettings;
import stileferry.protocol.Settings;

/** Rents machines for the jobs that wait, each request under a name that is never used again. */
final class ScaleOut {
    private static final Logger LOG = LoggerFactory.getLogger("cloud");

    private static final int MAX_RENT = 50;

    /** A request without an answer is sent again after this. */
    private static final long REPEAT_MS = 6000;

    private final ClusterState cluster;
    private final Environment environment;
    private final HeartbeatHandler fleet;
    private final CloudClient cloud;
    private final String requestPrefix;
    private final Map<String, BackOff> refusals = new HashMap<>();
    private final List<ScaleOutRequest> rentals = new ArrayList<>();
    private final long since;
    private long requests;
    private Set<String> unreachable = Set.of();
    private int spotMachines;
    private int allMachines;

    ScaleOut(ClusterState cluster, Environment environment, HeartbeatHandler fleet, CloudClient cloud, long term) {
        this.cluster = cluster;
        this.environment = environment;
        this.fleet = fleet;
        this.cloud = cloud;
        this.since = environment.now();
        // No other leader has this term, so no name of a rental request is ever used twice.
        this.requestPrefix = "r-" + cluster.settings().controllerName() + "-" + term + "-";
    }

    private static final class BackOff {
        long until;
        int count;
    }

    private static final class ScaleOutRequest {
        final String request;
        final MachineType type;
        final String zone;
        final boolean spot;
        final int count;
        final long sentAt;

        ScaleOutRequest(String request, MachineType type, String zone, boolean spot, int count, long sentAt) {
            this.request = request;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.count = count;
            this.sentAt = sentAt;
        }
    }

    /** Rents for the jobs that wait, after counting the machines that boot. */
    void rent(List<Job> waiting) {
        repeatRentals();
        unreachable = fleet.failureDetector().unreachableZones(since); // what boots there can't report
        List<PlannedMachine> coming = new ArrayList<>();
        Map<String, Integer> perZone = new HashMap<>();
        spotMachines = 0;
        allMachines = 0;
        for (Machine machine : cluster.machines().values()) {
            if (machine.instance().terminating() || machine.type() == null) {
                continue;
            }
            allMachines++;
            spotMachines += machine.spot() ? 1 : 0;
            perZone.merge(machine.zone(), 1, Integer::sum);
            if (machine.instance().booting()) { // what is said to run but does not report is no room to count on
                coming.add(new PlannedMachine(machine.type(), machine.zone(), machine.spot()));
            }
        }
        for (ScaleOutRequest request : rentals) {
            for (int i = 0; i < request.count; i++) {
                coming.add(new PlannedMachine(request.type, request.zone, request.spot));
            }
            allMachines += request.count;
            spotMachines += request.spot ? request.count : 0;
            perZone.merge(request.zone, request.count, Integer::sum);
        }
        int known = coming.size();
        Map<String, Double> teamCpus = new HashMap<>();
        for (Job job : waiting) {
            int n = withinLimit(job, teamCpus);
            String zone = job.spec().gang() && job.spec().oneZone() ? zoneFor(job.spec(), n, coming, perZone) : null;
            n -= fill(job.spec(), n, coming, zone);
            while (n > 0) {
                PlannedMachine bin = cheapest(job.spec(), perZone, zone);
                if (bin == null) {
                    break;
                }
                perZone.merge(bin.zone(), 1, Integer::sum);
                allMachines++;
                spotMachines += bin.spot() ? 1 : 0;
                coming.add(bin);
                n -= bin.take(job.spec(), n);
            }
        }
        Map<String, List<PlannedMachine>> groups = new HashMap<>();
        for (PlannedMachine bin : coming.subList(known, coming.size())) {
            groups.computeIfAbsent(group(bin.type(), bin.zone(), bin.spot()), g -> new ArrayList<>())
                    .add(bin);
        }
        List<List<PlannedMachine>> parts = new ArrayList<>();
        groups.values().forEach(bins -> parts.addAll(Lists.partition(bins, MAX_RENT)));
        parts.sort(Comparator.comparingInt(bins -> -bins.size())); // calls are few: those that bring most go first
        for (List<PlannedMachine> bins : parts) {
            if (!cloud.mayCall()) {
                return;
            }
            PlannedMachine planned = bins.get(0);
            ScaleOutRequest rental = new ScaleOutRequest(
                    requestPrefix + ++requests,
                    planned.type(),
                    planned.zone(),
                    planned.spot(),
                    bins.size(),
                    environment.now());
            rentals.add(rental);
            send(rental);
        }
    }

    /** How many of a job's waiting tasks its team may still run, after what earlier jobs were promised. */
    private int withinLimit(Job job, Map<String, Double> teamCpus) {
        Settings.Team team = cluster.settings().team(job.spec().team());
        int tasks = job.pendingCount();
        if (team == null || team.cpusMax() == 0 || job.spec().cpus() == 0) {
            return tasks;
        }
        double used = teamCpus.getOrDefault(team.name(), cluster.cpusInUse(team.name()));
        int most = (int) Math.max(
                0, Math.min(tasks, (team.cpusMax() - used + 1e-6) / job.spec().cpus()));
        teamCpus.put(team.name(), used + most * job.spec().cpus());
        return most;
    }

    /** Puts tasks into what is coming, in one zone or (null) in any; returns how many fit. */
    private static int fill(JobSpec spec, int tasks, List<PlannedMachine> bins, String zone) {
        int taken = 0;
        for (PlannedMachine bin : bins) {
            if (taken == tasks) {
                break;
            }
            taken += zone == null || zone.equals(bin.zone()) ? bin.take(spec, tasks - taken) : 0;
        }
        return taken;
    }

    /**
     * The one zone for a gang: where most of it has room soon, else where a machine is to be had at the lowest price.
     */
    private String zoneFor(JobSpec spec, int tasks, List<PlannedMachine> coming, Map<String, Integer> perZone) {
        Map<String, Integer> room = new HashMap<>();
        for (PlannedMachine bin : coming) {
            if (bin.fits(spec)) {
                int more = spec.cpus() > 0 ? (int) Math.max(1, bin.cpus() / spec.cpus()) : 1;
                room.merge(bin.zone(), more, Integer::sum);
            }
        }
        String best = null;
        for (Map.Entry<String, Integer> entry : room.entrySet()) {
            if (!unreachable.contains(entry.getKey())
                    && (best == null
                            || entry.getValue() > room.get(best)
                            || entry.getValue().equals(room.get(best))
                                    && entry.getKey().compareTo(best) < 0)) {
                best = entry.getKey();
            }
        }
        if (best != null && (room.get(best) >= tasks || cheapest(spec, perZone, best) != null)) {
            return best;
        }
        PlannedMachine bin = cheapest(spec, perZone, null);
        return bin == null ? null : bin.zone();
    }

    /** The machine to rent next for a job that nothing that is coming has room for. */
    private PlannedMachine cheapest(JobSpec spec, Map<String, Integer> perZone, String onlyZone) {
        PlannedMachine best = null;
        boolean moreSpot =
                spotMachines + 1 <= cluster.operatorSettings().number(OperatorSettings.SPOT_SHARE) * (allMachines + 1);
        for (MachineType type : cluster.machineTypes()) {
            for (String zone : type.zones()) {
                for (boolean spot : new boolean[] {true, false}) {
                    PlannedMachine bin = new PlannedMachine(type, zone, spot);
                    BackOff refusal = refusals.get(group(type, zone, spot));
                    if ((!spot || moreSpot)
                            && (refusal == null || refusal.until <= environment.now())
                            && !unreachable.contains(zone)
                            && bin.fits(spec)
                            && (onlyZone == null || onlyZone.equals(zone))
                            && (best == null || cheaper(bin, best, perZone))) {
                        best = bin;
                    }
                }
            }
        }
        return best;
    }

    private static boolean cheaper(PlannedMachine bin, PlannedMachine than, Map<String, Integer> perZone) {
        double price = bin.spot() ? bin.type().spotPrice() : bin.type().onDemandPrice();
        double other = than.spot() ? than.type().spotPrice() : than.type().onDemandPrice();
        if (price != other) {
            return price < other;
        }
        return perZone.getOrDefault(bin.zone(), 0) < perZone.getOrDefault(than.zone(), 0);
    }

    private static String group(MachineType type, String zone, boolean spot) {
        return type.name() + "|" + zone + "|" + spot;
    }

    private void repeatRentals() {
        for (ScaleOutRequest request : List.copyOf(rentals)) {
            if (environment.now() - request.sentAt > REPEAT_MS && cloud.mayCall()) {
                rentals.remove(request);
                ScaleOutRequest again = new ScaleOutRequest(
                        request.request, request.type, request.zone, request.spot, request.count, environment.now());
                rentals.add(again);
                send(again);
            }
        }
    }

    private void send(ScaleOutRequest request) {
        cloud.call(
                "POST",
                "/hosts",
                CloudMessages.scaleOutRequest(
                        request.request, request.type.name(), request.zone, request.spot, request.count),
                (status, body) -> answered(request, status, body));
    }

    private void answered(ScaleOutRequest request, int status, JsonNode body) {
        String group = group(request.type, request.zone, request.spot);
        if (status == 200 && body != null) {
            rentals.removeIf(x -> x.request.equals(request.request));
            List<String> names = CloudMessages.createdMachines(body);
            LOG.info(
                    "rented {} of {} {} {} in {}",
                    names.size(),
                    request.count,
                    request.spot ? "spot" : "ordinary",
                    request.type.name(),
                    request.zone);
            for (String name : names) {
                Machine machine = cluster.machine(name);
                machine.setType(request.type);
                machine.setTypeName(request.type.name());
                machine.setSpot(request.spot);
                machine.instance().setRequestedAt(request.sentAt);
                machine.instance().setBooting(!machine.agent().heardThisTerm());
                cluster.setZone(machine, request.zone);
            }
            if (names.size() < request.count) {
                refuse(group, request);
            } else {
                refusals.remove(group);
            }
        } else if (status == 503 && body != null && body.path("error").asText().startsWith("no")) {
            rentals.removeIf(x -> x.request.equals(request.request));
            refuse(group, request);
        } else if (status == 400) {
            rentals.removeIf(x -> x.request.equals(request.request));
            LOG.error("the cloud calls a rental malformed: {}", body);
        }
        // anything else: the outcome is unknown or nothing was done, and the same request is sent again later
    }

    private void refuse(String group, ScaleOutRequest request) {
        BackOff refusal = refusals.computeIfAbsent(group, g -> new BackOff());
        long pause = Math.round(request.type.bootS() * 500) << Math.min(1, refusal.count++);
        refusal.until = environment.now() + pause;
        LOG.info(
                "no more {} {} in {}, asking again in {} s",
                request.spot ? "spot" : "ordinary",
                request.type.name(),
                request.zone,
                pause / 1000);
    }
}
