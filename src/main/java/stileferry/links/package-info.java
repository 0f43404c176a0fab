/**
 * Connects {@link stileferry.connectivity.Connectivity}, which detects link failures, to a controller: observes
 * requests, sends probes, exchanges views and hands the leadership over. {@link stileferry.links.LinkHealth} is the
 * interface that the controller uses, also if the feature {@code partial_cuts} is off.
 */
package stileferry.links;
