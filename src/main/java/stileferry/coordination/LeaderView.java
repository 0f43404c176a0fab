package stileferry.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import stileferry.cluster.ClusterState;
import stileferry.lifecycle.TaskLifecycle;
import stileferry.protocol.Environment;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.Settings;
import stileferry.requests.JobRequestHandler;
import stileferry.storage.CommitQueue;

/** The view {@code leader} of the administration API: a leader's term and what it has to do. */
record LeaderView(
        Settings settings,
        Environment environment,
        long term,
        long activeAt,
        ClusterState cluster,
        CommitQueue commitQueue,
        JobRequestHandler jobRequests,
        TaskLifecycle taskLifecycle) {
    private static final double MS_PER_S = 1000;

    ObjectNode describe() {
        return MessageCodec.map()
                .put("leader", settings.controllerName())
                .put("term", term)
                .put("active_s", (environment.now() - activeAt) / MS_PER_S)
                .put("live_jobs", cluster.jobs().size())
                .put("machines", cluster.machines().size())
                .put("changes_waiting", commitQueue.backlog())
                .put("oldest_reply_ms", jobRequests.oldestPendingReplyMs())
                .put("transactions_in_flight", commitQueue.inFlight())
                .put("token_raises", taskLifecycle.heartbeatHandler().tokenRaises())
                .set("gangs", taskLifecycle.gangMetrics().describe());
    }
}
