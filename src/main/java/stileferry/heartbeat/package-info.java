/**
 * The workers' heartbeats. At the leader {@link stileferry.heartbeat.HeartbeatHandler} answers them, reconciles the
 * reported tasks with the assignments and renews leases; {@link stileferry.heartbeat.CommandDispatcher} sends commands
 * that should not wait for a heartbeat, and {@link stileferry.heartbeat.FailureDetector} judges machines that missed
 * some. At other controllers {@link stileferry.heartbeat.FollowerHeartbeats} redirects or forwards them.
 */
package stileferry.heartbeat;
