/**
 * Scaling the cluster: {@link stileferry.autoscaling.Autoscaler} requests machines from the cloud for waiting jobs,
 * deletes lost and idle ones, and compares what is known with the cloud's list.
 */
package stileferry.autoscaling;
