/**
 * Stand-ins for the external systems, which implement their published protocols: the key-value store, the cloud and the
 * workers. Used by the tests and by the {@code stand-ins} command. They only hold state: they have no threads, clocks
 * or sockets, and the caller passes in the time and the requests.
 */
package stileferry.standin;
