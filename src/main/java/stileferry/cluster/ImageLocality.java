package stileferry.cluster;

/** Whether a container image is available on a machine, in order of increasing locality. */
public enum ImageLocality {
    /** The machine does not have the image, and no task assigned to it needs the image. */
    ABSENT,

    /** The machine does not have the image yet, but pulls it for a task that is assigned to it. */
    BEING_PULLED,

    /** The machine has the image in its cache. */
    PRESENT
}
