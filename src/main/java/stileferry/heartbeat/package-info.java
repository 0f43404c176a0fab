/**
 * Workers' heartbeats. On the leader, {@link stileferry.heartbeat.HeartbeatHandler} responds to them, reconciles the
 * reported tasks with the assignments and renews leases; {@link stileferry.heartbeat.CommandDispatcher} sends commands
 * that should not wait for a heartbeat, and {@link stileferry.heartbeat.FailureDetector} judges machines that missed
 * heartbeats. On other controllers, {@link stileferry.heartbeat.FollowerHeartbeats} redirects or forwards heartbeats.
 */
package stileferry.heartbeat;
