package stileferry.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import stileferry.protocol.Environment;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.WireNames;

/** A stand-in for the cloud with one machine type, after the published protocol. Time comes from outside. */
public final class Cloud {
    private final String type;
    private final double cpus;
    private final double memoryGb;
    private final double bootS;
    private final List<String> zones;
    private final int machinesPerPool;
    private final long listLagMs;
    private final WorkerStarter workerStarter;
    private final Consumer<Worker> workerRemover;
    private final TreeMap<String, Instance> instances = new TreeMap<>();

    /** Instances that are gone and may still be listed. */
    private final Map<String, Instance> removedInstances = new HashMap<>();

    private final Map<String, List<String>> namesByRequestId = new HashMap<>();
    private int createdInstanceCount;
    private int deletionRequestCount;
    private long now;

    /** Starts the worker of a machine that has booted. */
    public interface WorkerStarter {
        /** A machine of this name has booted. */
        Worker start(String machine, String zone, boolean spot);
    }

    private static final class Instance {
        private final String zone;
        private final boolean spot;
        private final long createdAt;
        private final long bootedAt;
        private long removedAt;
        private Worker worker;

        Instance(String zone, boolean spot, long createdAt, long bootsAt) {
            this.zone = zone;
            this.spot = spot;
            this.createdAt = createdAt;
            this.bootedAt = bootsAt;
        }
    }

    /**
     * A cloud without machines.
     *
     * @param machinesPerPool machines that can be had in each zone, as spot instances and on demand each
     * @param listLagMs by how much the list of machines lags
     * @param workerBoot starts the worker of a machine that has booted
     * @param removeWorker ends the worker of a machine that is gone
     */
    public Cloud(
            String type,
            double cpus,
            double memoryGb,
            double bootS,
            List<String> zones,
            int machinesPerPool,
            long listLagMs,
            WorkerStarter workerBoot,
            Consumer<Worker> removeWorker) {
        this.type = type;
        this.cpus = cpus;
        this.memoryGb = memoryGb;
        this.bootS = bootS;
        this.zones = zones;
        this.machinesPerPool = machinesPerPool;
        this.listLagMs = listLagMs;
        this.workerStarter = workerBoot;
        this.workerRemover = removeWorker;
    }

    /** Lets time pass: machines boot. */
    public void tick(long time) {
        now = time;
        instances.forEach((name, instance) -> {
            if (instance.worker == null && now >= instance.bootedAt) {
                instance.worker = workerStarter.start(name, instance.zone, instance.spot);
            }
        });
    }

    /** Takes a machine away without notice. */
    public void reclaim(String name) {
        Instance instance = instances.remove(name);
        if (instance != null) {
            instance.removedAt = now;
            removedInstances.put(name, instance);
            if (instance.worker != null) {
                workerRemover.accept(instance.worker);
            }
        }
    }

    /** How many deletions were requested. */
    public int deletionRequestCount() {
        return deletionRequestCount;
    }

    /** Names of the machines that have booted. */
    public List<String> runningMachines() {
        return instances.entrySet().stream()
                .filter(entry -> entry.getValue().worker != null)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Carries a request out. */
    public void handleRequest(String method, String path, JsonNode body, Environment.ResponseHandler reply) {
        if (path.equals("/machine_types")) {
            reply.onResponse(200, machineTypes());
        } else if (path.equals("/hosts")) {
            create(body, reply);
        } else if (path.equals("/hosts/delete")) {
            deletionRequestCount++;
            body.path(WireNames.MACHINES).forEach(name -> reclaim(name.asText()));
            reply.onResponse(200, MessageCodec.map());
        } else if (path.startsWith("/hosts?")) {
            reply.onResponse(200, listMachines(QueryString.of(path).text("from")));
        } else {
            reply.onResponse(400, null);
        }
    }

    private ObjectNode machineTypes() {
        ObjectNode answer = MessageCodec.map();
        ObjectNode machineType = answer.putArray(WireNames.MACHINE_TYPES)
                .addObject()
                .put(WireNames.MACHINE_TYPE_NAME, type)
                .put(WireNames.CPUS, cpus)
                .put(WireNames.GPUS, 0)
                .put(WireNames.MEMORY_GB, memoryGb)
                .put(WireNames.CACHE_GB, 50.0)
                .put(WireNames.FETCH_GB_PER_S, 1.0)
                .put(WireNames.ON_DEMAND_PRICE, 1.0)
                .put(WireNames.SPOT_PRICE, 0.4)
                .put(WireNames.BOOT_S, bootS);
        zones.forEach(machineType.putArray(WireNames.ZONES)::add);
        return answer;
    }

    /** Creates machines once for each request's id, and answers a repeated request the same. */
    private void create(JsonNode body, Environment.ResponseHandler reply) {
        String request = body.path(WireNames.SCALE_OUT_REQUEST).asText();
        List<String> names = namesByRequestId.get(request);
        if (names == null) {
            names = createInstances(
                    body.path(WireNames.ZONE).asText(),
                    body.path(WireNames.SPOT).asBoolean(),
                    body.path(WireNames.COUNT).asInt());
            if (names.isEmpty()) {
                reply.onResponse(503, MessageCodec.map().put(WireNames.ERROR, "no capacity"));
                return;
            }
            namesByRequestId.put(request, names);
        }
        ObjectNode answer = MessageCodec.map();
        names.forEach(answer.putArray(WireNames.MACHINES)::add);
        reply.onResponse(200, answer);
    }

    private List<String> createInstances(String zone, boolean spot, int count) {
        List<String> names = new ArrayList<>();
        long existing = instances.values().stream()
                .filter(instance -> instance.zone.equals(zone) && instance.spot == spot)
                .count();
        for (int i = 0; i < count && existing + i < machinesPerPool; i++) {
            String name = String.format("host-%06d", createdInstanceCount++);
            instances.put(name, new Instance(zone, spot, now, now + Math.round(bootS * 1000)));
            names.add(name);
        }
        return names;
    }

    /** All machines after this one, as they were before the list's lag. */
    private ObjectNode listMachines(String from) {
        ObjectNode answer = MessageCodec.map().put("more", false);
        ArrayNode list = answer.putArray(WireNames.MACHINES);
        removedInstances.values().removeIf(instance -> now - instance.removedAt > listLagMs);
        TreeMap<String, Instance> listed = new TreeMap<>(instances);
        listed.putAll(removedInstances);
        listed.tailMap(from, false).forEach((name, instance) -> {
            if (now - instance.createdAt >= listLagMs) {
                list.addObject()
                        .put(WireNames.NAME_ID, name)
                        .put(WireNames.ADDRESS, instance.worker == null ? "" : instance.worker.address())
                        .put(WireNames.MACHINE_TYPE, type)
                        .put(WireNames.ZONE, instance.zone)
                        .put(WireNames.SPOT, instance.spot)
                        .put(WireNames.STATE, instance.worker == null ? "booting" : "running")
                        .put(WireNames.AGE_S, (now - instance.createdAt) / 1000.0);
            }
        });
        return answer;
    }
}
