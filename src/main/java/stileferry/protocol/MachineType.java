package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A machine type offered by the cloud.
 *
 * @param cacheGb the disk space for cached images on a machine, in GB
 * @param fetchGbPerS the rate at which a machine downloads images, in GB per second
 * @param bootS seconds from the creation of a machine until the first heartbeat of its agent
 * @param zones the zones in which the type is available
 */
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

    /** Lower bound that keeps quotients by the fetch rate finite. */
    private static final double MIN_FETCH_GB_PER_S = 0.001;

    private static final double MIN_BOOT_S = 1;

    /** Reads the machine types from the cloud's response; returns an empty list if it is malformed. */
    public static List<MachineType> readAll(JsonNode body) {
        List<MachineType> types = new ArrayList<>();
        for (JsonNode type : body.path(WireNames.MACHINE_TYPES)) {
            types.add(read(type));
        }
        return types;
    }

    private static MachineType read(JsonNode type) {
        List<String> zones = new ArrayList<>();
        type.path(WireNames.ZONES).forEach(zone -> zones.add(zone.asText()));
        return new MachineType(
                type.path(WireNames.MACHINE_TYPE_NAME).asText(),
                type.path(WireNames.CPUS).asDouble(),
                type.path(WireNames.GPUS).asDouble(),
                type.path(WireNames.MEMORY_GB).asDouble(),
                type.path(WireNames.CACHE_GB).asDouble(),
                Math.max(MIN_FETCH_GB_PER_S, type.path(WireNames.FETCH_GB_PER_S).asDouble()),
                type.path(WireNames.ON_DEMAND_PRICE).asDouble(),
                type.path(WireNames.SPOT_PRICE).asDouble(),
                Math.max(MIN_BOOT_S, type.path(WireNames.BOOT_S).asDouble()),
                List.copyOf(zones));
    }
}
