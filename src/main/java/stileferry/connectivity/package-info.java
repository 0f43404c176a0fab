/**
 * Which links between controllers, workers and the state service work, what follows for who should lead, and which
 * decisions the leader can stand behind. Nothing here does I/O, reads a clock or starts a thread: a host program hands
 * in events with their times and gets decisions back. {@link stileferry.connectivity.Connectivity} is the entry point.
 *
 * <p>What is decided here only ever makes a controller decide less, stand later for the leadership, or release it. It
 * proves nothing about tasks; safety stays with the leader key, the durable claims and the proofs of their ends.
 */
package stileferry.connectivity;
