package stileferry.connectivity;

import stileferry.validation.InvalidInputException;

/**
 * What a worker's report says of its links.
 *
 * @param worker the worker's name
 * @param address where requests reach it
 * @param session the number of its session
 * @param sequence the number of its message, higher than those before in the session
 * @param showsTerm whether it has accepted the receiver's term
 */
public record WorkerReport(String worker, String address, long session, long sequence, boolean showsTerm) {
    /** Checks what must hold for any report. */
    public WorkerReport {
        InvalidInputException.requireName(worker, "worker");
        InvalidInputException.require(address != null, "address", "missing");
        InvalidInputException.require(session >= 0, "session", "negative");
        InvalidInputException.require(sequence >= 0, "sequence", "negative");
    }
}
