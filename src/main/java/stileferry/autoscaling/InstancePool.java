package stileferry.autoscaling;

import stileferry.protocol.MachineType;

/** A pool from which machines are requested: a machine type in a zone, as spot instances or on demand. */
record InstancePool(MachineType type, String zone, boolean spot) {
    double price() {
        return spot ? type.spotPrice() : type.onDemandPrice();
    }

    /** Returns the pool's key in maps; the order of requests of the same size follows from it. */
    String key() {
        return type.name() + "|" + zone + "|" + spot;
    }
}
