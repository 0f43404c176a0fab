package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** A machine type that the cloud rents. */
public record MachineType(
        String name,
        double cpus,
        double gpus,
        double memoryGb,
        double cacheGb,
        double fetchGbPerS,
        double onDemandPrice,
        double spotPrice,
        double bootS,
        List<String> zones) {

    /** Reads the cloud's answer; an empty list when it is malformed. */
    public static List<MachineType> readAll(JsonNode body) {
        List<MachineType> types = new ArrayList<>();
        for (JsonNode t : body.path("hulls")) {
            List<String> zones = new ArrayList<>();
            t.path("harbors").forEach(z -> zones.add(z.asText()));
            types.add(new MachineType(
                    t.path("sku").asText(),
                    t.path("cores").asDouble(),
                    t.path("gpus").asDouble(),
                    t.path("ram_gb").asDouble(),
                    t.path("local_gb").asDouble(),
                    Math.max(0.001, t.path("fetch_gb_per_s").asDouble()),
                    t.path("rate").asDouble(),
                    t.path("spot_price").asDouble(),
                    Math.max(1, t.path("startup_s").asDouble()),
                    List.copyOf(zones)));
        }
        return types;
    }
}
