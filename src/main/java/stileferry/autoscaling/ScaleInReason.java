package stileferry.autoscaling;

/** Why a machine is deleted, worded for operators. */
enum ScaleInReason {
    /**
     * The cloud's list named the machine before, but no longer does: deleting it costs nothing and makes certain that
     * it is gone.
     */
    NOT_LISTED("it is not listed any more"),
    NEVER_BOOTED("it never came up"),
    UNKNOWN("it is neither listed nor heard"),
    SPOT_LOST("it was reclaimed without notice"),
    LOST("it missed heartbeats, though its zone did not"),
    MISSED_HEARTBEATS("it missed heartbeats"),
    UNREACHABLE("it sends heartbeats but receives no answers"),
    NOT_SCHEDULABLE("it is empty and not to be used"),
    IDLE("it is idle"),
    CANCELLED_TASK("a cancelled task on it can't be stopped");

    private final String text;

    ScaleInReason(String text) {
        this.text = text;
    }

    @Override
    public String toString() {
        return text;
    }
}
