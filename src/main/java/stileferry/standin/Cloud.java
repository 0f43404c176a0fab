package stileferry.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import stileferry.protocol.Environment;
import stileferry.protocol.MessageCodec;

/** A stand-in for the cloud with one machine type, after the published protocol. Time comes from outside. */
public final class Cloud {
    private final String type;
    private final double cpus;
    private final double memoryGb;
    private final double bootS;
    private final List<String> zones;
    private final int perZone;
    private final long lagMs;
    private final BiFunction<String, String, Worker> boot;
    private final Consumer<Worker> remove;
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, Machine> gone = new HashMap<>();
    private final Map<String, Long> goneAt = new HashMap<>();
    private final Map<String, List<String>> requests = new HashMap<>();
    private int created;
    private int deletions;
    private long now;

    private static final class Machine {
        String zone;
        boolean spot;
        long rentedAt;
        long upAt;
        Worker worker;
    }

    /** A cloud with so many machines of its type in each zone; it is told how machines come and go. */
    public Cloud(
            String type,
            double cpus,
            double memoryGb,
            double bootS,
            List<String> zones,
            int perZone,
            long lagMs,
            BiFunction<String, String, Worker> boot,
            Consumer<Worker> remove) {
        this.type = type;
        this.cpus = cpus;
        this.memoryGb = memoryGb;
        this.bootS = bootS;
        this.zones = zones;
        this.perZone = perZone;
        this.lagMs = lagMs;
        this.boot = boot;
        this.remove = remove;
    }

    /** Lets time pass: machines come up. */
    public void tick(long time) {
        now = time;
        machines.forEach((name, machine) -> {
            if (machine.worker == null && now >= machine.upAt) {
                machine.worker = boot.apply(name, machine.zone + "|" + machine.spot);
            }
        });
    }

    /** Takes a machine without asking. */
    public void reclaim(String name) {
        Machine machine = machines.remove(name);
        if (machine != null) {
            gone.put(name, machine);
            goneAt.put(name, now);
            if (machine.worker != null) {
                remove.accept(machine.worker);
            }
        }
    }

    /** How many deletions were asked for. */
    public int deletionRequests() {
        return deletions;
    }

    /** Names of the machines that are up. */
    public List<String> runningMachines() {
        return machines.entrySet().stream()
                .filter(e -> e.getValue().worker != null)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Carries a request out. */
    public void request(String method, String path, JsonNode body, Environment.ResponseHandler reply) {
        if (path.equals("/machine_types")) {
            ObjectNode answer = MessageCodec.map();
            ObjectNode t = answer.putArray("hulls")
                    .addObject()
                    .put("sku", type)
                    .put("cores", cpus)
                    .put("gpus", 0)
                    .put("ram_gb", memoryGb)
                    .put("local_gb", 50.0)
                    .put("fetch_gb_per_s", 1.0)
                    .put("rate", 1.0)
                    .put("spot_price", 0.4)
                    .put("startup_s", bootS);
            zones.forEach(t.putArray("harbors")::add);
            reply.onResponse(200, answer);
        } else if (path.equals("/hosts")) {
            rent(body, reply);
        } else if (path.equals("/hosts/delete")) {
            deletions++;
            body.path("fleet").forEach(n -> reclaim(n.asText()));
            reply.onResponse(200, MessageCodec.map());
        } else if (path.startsWith("/hosts?")) {
            list(QueryString.of(path), reply);
        } else {
            reply.onResponse(400, null);
        }
    }

    private void rent(JsonNode body, Environment.ResponseHandler reply) {
        String request = body.path("charter").asText();
        List<String> names = requests.get(request);
        if (names == null) {
            names = new ArrayList<>();
            String zone = body.path("harbor").asText();
            boolean spot = body.path("tender").asBoolean();
            long there = machines.values().stream()
                    .filter(m -> m.zone.equals(zone) && m.spot == spot)
                    .count();
            for (int i = 0; i < body.path("count").asInt() && there + i < perZone; i++) {
                Machine machine = new Machine();
                machine.zone = zone;
                machine.spot = spot;
                machine.rentedAt = now;
                machine.upAt = now + Math.round(bootS * 1000);
                String name = String.format("host-%06d", created++);
                machines.put(name, machine);
                names.add(name);
            }
            if (names.isEmpty()) {
                reply.onResponse(503, MessageCodec.map().put("error", "no capacity"));
                return;
            }
            requests.put(request, names);
        }
        ObjectNode answer = MessageCodec.map();
        names.forEach(answer.putArray("fleet")::add);
        reply.onResponse(200, answer);
    }

    private void list(QueryString q, Environment.ResponseHandler reply) {
        ObjectNode answer = MessageCodec.map().put("more", false);
        ArrayNode list = answer.putArray("fleet");
        goneAt.values().removeIf(at -> now - at > lagMs);
        gone.keySet().retainAll(goneAt.keySet());
        TreeMap<String, Machine> listed = new TreeMap<>(machines);
        listed.putAll(gone); // the list lags: what is gone is still in it for a while
        listed.tailMap(q.text("from"), false).forEach((name, machine) -> {
            if (now - machine.rentedAt >= lagMs) {
                list.addObject()
                        .put("name_id", name)
                        .put("addr", machine.worker == null ? "" : machine.worker.address())
                        .put("hull", type)
                        .put("harbor", machine.zone)
                        .put("tender", machine.spot)
                        .put("tide", machine.worker == null ? "booting" : "running")
                        .put("age_s", (now - machine.rentedAt) / 1000.0);
            }
        });
        reply.onResponse(200, answer);
    }
}
