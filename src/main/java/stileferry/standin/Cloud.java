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

/** Stand-in for a cloud with one machine type; implements the published protocol. The caller passes in the time. */
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

    /** Removed instances, which the list still shows for a while. */
    private final Map<String, Instance> removedInstances = new HashMap<>();

    private final Map<String, List<String>> namesByRequestId = new HashMap<>();
    private int createdInstanceCount;
    private int deletionRequestCount;
    private long now;

    /** Starts the workers of machines that have booted. */
    public interface WorkerStarter {
        /** Starts and returns the worker of a machine that has just booted. */
        Worker start(String machine, String zone, boolean spot);
    }

    private static final class Instance {
        private final String zone;
        private final boolean spot;
        private final long createdAt;
        private final long bootedAt;
        private long removedAt;
        private Worker worker;

        Instance(String zone, boolean spot, long createdAt, long bootedAt) {
            this.zone = zone;
            this.spot = spot;
            this.createdAt = createdAt;
            this.bootedAt = bootedAt;
        }
    }

    /**
     * Creates a cloud without machines.
     *
     * @param machinesPerPool largest number of machines in a zone, for spot instances and on-demand machines each
     * @param listLagMs how long it takes until the list shows that a machine was created or removed
     * @param workerStarter starts the worker of a machine that has booted
     * @param workerRemover removes the worker of a machine that is gone
     */
    public Cloud(
            String type,
            double cpus,
            double memoryGb,
            double bootS,
            List<String> zones,
            int machinesPerPool,
            long listLagMs,
            WorkerStarter workerStarter,
            Consumer<Worker> workerRemover) {
        this.type = type;
        this.cpus = cpus;
        this.memoryGb = memoryGb;
        this.bootS = bootS;
        this.zones = zones;
        this.machinesPerPool = machinesPerPool;
        this.listLagMs = listLagMs;
        this.workerStarter = workerStarter;
        this.workerRemover = workerRemover;
    }

    /** Advances the time: machines finish booting. */
    public void tick(long time) {
        now = time;
        instances.forEach((name, instance) -> {
            if (instance.worker == null && now >= instance.bootedAt) {
                instance.worker = workerStarter.start(name, instance.zone, instance.spot);
            }
        });
    }

    /** Removes a machine without notice; does nothing if there is no such machine. */
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

    /** Returns how many deletion requests were received. */
    public int deletionRequestCount() {
        return deletionRequestCount;
    }

    /** Returns the names of the machines that have booted and still exist. */
    public List<String> runningMachines() {
        return instances.entrySet().stream()
                .filter(entry -> entry.getValue().worker != null)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Handles a request to the cloud. */
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
        ObjectNode response = MessageCodec.map();
        ObjectNode machineType = response.putArray(WireNames.MACHINE_TYPES)
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
        return response;
    }

    /** Creates machines once for each request id; a repeated request gets the same response. */
    private void create(JsonNode body, Environment.ResponseHandler reply) {
        String requestId = body.path(WireNames.SCALE_OUT_REQUEST).asText();
        List<String> names = namesByRequestId.get(requestId);
        if (names == null) {
            names = createInstances(
                    body.path(WireNames.ZONE).asText(),
                    body.path(WireNames.SPOT).asBoolean(),
                    body.path(WireNames.COUNT).asInt());
            if (names.isEmpty()) {
                reply.onResponse(503, MessageCodec.map().put(WireNames.ERROR, "no capacity"));
                return;
            }
            namesByRequestId.put(requestId, names);
        }
        ObjectNode response = MessageCodec.map();
        names.forEach(response.putArray(WireNames.MACHINES)::add);
        reply.onResponse(200, response);
    }

    private List<String> createInstances(String zone, boolean spot, int count) {
        List<String> names = new ArrayList<>();
        long machinesInPool = instances.values().stream()
                .filter(instance -> instance.zone.equals(zone) && instance.spot == spot)
                .count();
        for (int i = 0; i < count && machinesInPool + i < machinesPerPool; i++) {
            String name = String.format("host-%06d", createdInstanceCount++);
            instances.put(name, new Instance(zone, spot, now, now + Math.round(bootS * 1000)));
            names.add(name);
        }
        return names;
    }

    /** Lists the machines that existed {@code listLagMs} ago and whose names follow a given one. */
    private ObjectNode listMachines(String afterName) {
        ObjectNode response = MessageCodec.map().put("more", false);
        ArrayNode machines = response.putArray(WireNames.MACHINES);
        removedInstances.values().removeIf(instance -> now - instance.removedAt > listLagMs);
        TreeMap<String, Instance> visible = new TreeMap<>(instances);
        visible.putAll(removedInstances);
        visible.tailMap(afterName, false).forEach((name, instance) -> {
            if (now - instance.createdAt >= listLagMs) {
                machines.addObject()
                        .put(WireNames.NAME_ID, name)
                        .put(WireNames.ADDRESS, instance.worker == null ? "" : instance.worker.address())
                        .put(WireNames.MACHINE_TYPE, type)
                        .put(WireNames.ZONE, instance.zone)
                        .put(WireNames.SPOT, instance.spot)
                        .put(WireNames.STATE, instance.worker == null ? "booting" : "running")
                        .put(WireNames.AGE_S, (now - instance.createdAt) / 1000.0);
            }
        });
        return response;
    }
}
