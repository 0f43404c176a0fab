/**
 * Connects {@link stileferry.connectivity.Connectivity}, which judges links, to a controller: observes requests, sends
 * probes, exchanges views, hands the leadership over. {@link stileferry.links.LinkHealth} is what the controller sees
 * of it, also where the feature {@code partial_cuts} is off.
 */
package stileferry.links;
