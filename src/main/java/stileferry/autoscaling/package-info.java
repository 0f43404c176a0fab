/**
 * Scaling of the cluster: {@link stileferry.autoscaling.Autoscaler} requests machines from the cloud for waiting jobs,
 * deletes lost and idle machines, and reconciles the known machines with the cloud's list.
 */
package stileferry.autoscaling;
