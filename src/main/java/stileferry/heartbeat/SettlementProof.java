package stileferry.heartbeat;

/** What proves, beside its exit, that an assigned task is not on its machine and can't start there any more. */
public enum SettlementProof {
    /** The agent has a higher incarnation than the assignment: its tasks ended with the older one. */
    HIGHER_INCARNATION("higher incarnation"),
    LEASE_EXPIRED("lease expired"),
    MACHINE_DELETED("machine deleted"),

    /** A stopped task that a heartbeat does not name, after every start of it was carried out or dropped. */
    NEVER_STARTED("never started"),

    /** A task that was stopped before any start of it was sent. */
    NEVER_SENT("never sent");

    private final String text;

    SettlementProof(String text) {
        this.text = text;
    }

    @Override
    public String toString() {
        return text;
    }
}
