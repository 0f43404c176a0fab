package stileferry.cluster;

/** How near an image is to a machine, the farthest first. */
public enum ImageLocality {
    /** The machine does not hold it. */
    ABSENT,

    /** An assigned task needs it, so that the machine pulls it. */
    BEING_PULLED,

    /** The machine holds it. */
    PRESENT
}
