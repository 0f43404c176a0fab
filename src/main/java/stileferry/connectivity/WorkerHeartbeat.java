package stileferry.connectivity;

import stileferry.validation.InvalidInputException;

/**
 * What a worker's report says of its links.
 *
 * @param worker the worker's name
 * @param address where requests reach it
 * @param incarnation the number of its session
 * @param sequence the number of its message, higher than those before in the session
 * @param acceptedTerm whether it has accepted the receiver's term
 */
public record WorkerHeartbeat(String worker, String address, long incarnation, long sequence, boolean acceptedTerm) {
    /** Checks what must hold for any report. */
    public WorkerHeartbeat {
        InvalidInputException.requireName(worker, "worker");
        InvalidInputException.require(address != null, "address", "missing");
        InvalidInputException.require(incarnation >= 0, "incarnation", "negative");
        InvalidInputException.require(sequence >= 0, "sequence", "negative");
    }
}
