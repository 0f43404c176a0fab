/**
 * Leader election on a leased key of the key-value store, and what depends on who leads: which cancellations all
 * controllers know, and who may renew workers' leases. {@link stileferry.leadership.LeaderElection} is the entry point;
 * docs/design.md ("What must always hold", "Cancellations") gives the reasons.
 */
package stileferry.leadership;
