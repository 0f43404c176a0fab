/**
 * Leader election on a leased key of the key-value store, and what depends on it: replicating cancellations to the
 * other controllers and deciding who may renew workers' leases. {@link stileferry.leadership.LeaderElection} is the
 * entry point; docs/design.md ("What must always hold", "Cancellations") gives the reasons.
 */
package stileferry.leadership;
