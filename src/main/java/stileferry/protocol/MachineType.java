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
        for (JsonNode t : body.path(WireNames.MACHINE_TYPES)) {
            List<String> zones = new ArrayList<>();
            t.path(WireNames.ZONES).forEach(z -> zones.add(z.asText()));
            types.add(new MachineType(
                    t.path(WireNames.MACHINE_TYPE_NAME).asText(),
                    t.path(WireNames.CPUS).asDouble(),
                    t.path(WireNames.GPUS).asDouble(),
                    t.path(WireNames.MEMORY_GB).asDouble(),
                    t.path(WireNames.CACHE_GB).asDouble(),
                    Math.max(0.001, t.path(WireNames.FETCH_GB_PER_S).asDouble()),
                    t.path(WireNames.ON_DEMAND_PRICE).asDouble(),
                    t.path(WireNames.SPOT_PRICE).asDouble(),
                    Math.max(1, t.path(WireNames.BOOT_S).asDouble()),
                    List.copyOf(zones)));
        }
        return types;
    }
}
