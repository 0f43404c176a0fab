package stileferry.connectivity;

import stileferry.validation.InvalidInputException;

/**
 * The parts of a worker's heartbeat that matter for link monitoring.
 *
 * @param worker the worker's name
 * @param address the address of its agent
 * @param incarnation the incarnation of its agent
 * @param sequence the sequence number of the heartbeat, ascending within the incarnation
 * @param acceptedTerm whether the agent has accepted the receiver's term as the newest
 */
public record WorkerHeartbeat(String worker, String address, long incarnation, long sequence, boolean acceptedTerm) {
    /** Validates the fields; throws for a missing or empty name, a missing address, and negative numbers. */
    public WorkerHeartbeat {
        InvalidInputException.requireNonEmptyName(worker, "worker");
        InvalidInputException.require(address != null, "address", "missing");
        InvalidInputException.require(incarnation >= 0, "incarnation", "negative");
        InvalidInputException.require(sequence >= 0, "sequence", "negative");
    }
}
