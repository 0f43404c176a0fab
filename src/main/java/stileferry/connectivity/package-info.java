/**
 * Failure detection on the links between controllers, workers and the state service, and what follows from it: who
 * should lead, and which decisions a leader may make. The package does no I/O, reads no clock and starts no thread: a
 * host program reports events with their times and asks for advice. {@link stileferry.connectivity.Connectivity} is the
 * entry point.
 *
 * <p>The package only withholds decisions, delays candidacies and advises releases of the leadership. It proves nothing
 * about tasks; safety depends on the leader key, the durable task assignments and the proofs of their ends.
 */
package stileferry.connectivity;
