/**
 * The leader's in-memory model of the cluster in one term. {@link stileferry.cluster.ClusterState} contains the jobs,
 * the machines with their agents and instances, the task assignments that connect them, and the resource usage of each
 * team. This package makes no scheduling decisions.
 */
package stileferry.cluster;
