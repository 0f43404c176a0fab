package stileferry.coordination;

import stileferry.cluster.InvariantMonitor;
import stileferry.heartbeat.EventLoopLag;
import stileferry.leadership.LeaderElection;
import stileferry.lifecycle.CompletedJobCache;
import stileferry.links.LinkHealth;
import stileferry.overload.AdmissionControl;
import stileferry.protocol.Environment;
import stileferry.protocol.Settings;
import stileferry.requests.RequestMetrics;
import stileferry.storage.KeyValueStoreClient;

/** The objects that the components of one controller share, whether or not it leads. */
record ControllerContext(
        Settings settings,
        Environment environment,
        KeyValueStoreClient store,
        LeaderElection election,
        LinkHealth links,
        AdmissionControl admission,
        EventLoopLag eventLoopLag,
        CompletedJobCache completedJobs,
        RequestMetrics metrics,
        InvariantMonitor invariants) {}
