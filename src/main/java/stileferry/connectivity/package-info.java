/**
 * Detects failures of the links between controllers, workers and the key-value store, and derives from them which
 * controller should lead and which decisions a leader may make. The package does no I/O, reads no clock and starts no
 * threads: a host program reports events with their times and asks for advice.
 * {@link stileferry.connectivity.Connectivity} is the entry point.
 *
 * <p>The package only withholds decisions, delays candidacies and advises releases of the leadership. It never
 * concludes that a task has ended: safety depends on the leader key, the durable task assignments and the proofs that
 * tasks have ended.
 */
package stileferry.connectivity;
