/**
 * Stand-ins for the systems outside, after their published protocols: the key-value store, the cloud and the workers.
 * Used by the tests and by the {@code stand-ins} command. They hold state only; time and requests come from outside.
 */
package stileferry.standin;
