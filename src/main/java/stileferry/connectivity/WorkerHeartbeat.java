package stileferry.connectivity;

import stileferry.validation.InvalidInputException;

/**
 * What a worker's heartbeat says of its links.
 *
 * @param worker the worker's name
 * @param address the address of its agent
 * @param incarnation the incarnation of its agent
 * @param sequence the number of the heartbeat, ascending within the incarnation
 * @param acceptedTerm whether it has accepted the receiver's term as the newest
 */
public record WorkerHeartbeat(String worker, String address, long incarnation, long sequence, boolean acceptedTerm) {
    /** Throws for missing names and negative numbers. */
    public WorkerHeartbeat {
        InvalidInputException.requireNonEmptyName(worker, "worker");
        InvalidInputException.require(address != null, "address", "missing");
        InvalidInputException.require(incarnation >= 0, "incarnation", "negative");
        InvalidInputException.require(sequence >= 0, "sequence", "negative");
    }
}
