package stileferry.heartbeat;

/** Proof, other than a reported exit, that an assigned task is not on its machine and can't start there any more. */
public enum SettlementProof {
    /** The agent runs a higher incarnation than the assignment names: the tasks of the older one have ended. */
    HIGHER_INCARNATION("higher incarnation"),
    LEASE_EXPIRED("lease expired"),
    MACHINE_DELETED("machine deleted"),

    /** A heartbeat does not list a stopped task, after every start of it was carried out or dropped. */
    NEVER_STARTED("never started"),

    /** The task was stopped before any start of it was sent. */
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
