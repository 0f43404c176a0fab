/**
 * What the leader knows in one term: {@link stileferry.cluster.ClusterState} holds the jobs, the machines with their
 * agents and instances, the task assignments between them, and what teams use. It decides nothing.
 */
package stileferry.cluster;
