package stileferry.autoscaling;

import stileferry.protocol.MachineType;

/** What machines are requested from: a machine type in a zone, as spot instances or on demand. */
record InstancePool(MachineType type, String zone, boolean spot) {
    double price() {
        return spot ? type.spotPrice() : type.onDemandPrice();
    }

    /** The pool's key in maps; the order of requests of the same size follows from it. */
    String key() {
        return type.name() + "|" + zone + "|" + spot;
    }
}
