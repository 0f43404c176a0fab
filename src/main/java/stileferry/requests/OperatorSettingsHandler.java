package stileferry.requests;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import stileferry.cluster.ClusterState;
import stileferry.leadership.LeaderElection;
import stileferry.protocol.InvalidOperatorSettingException;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.OperatorSettings;
import stileferry.protocol.PeerMessage;
import stileferry.storage.CommitQueue;
import stileferry.storage.StoredEntry;

/**
 * Shows and changes the operator settings. A change takes effect, and the response is sent, once the change is durable.
 */
public final class OperatorSettingsHandler {
    private static final String REVISION = "revision";

    private final ClusterState cluster;
    private final CommitQueue commitQueue;
    private final StoredEntry entry;
    private final Consumer<OperatorSettings> onDurable;

    /** The settings with all accepted changes, including those that are not durable yet. */
    private OperatorSettings pendingSettings;

    /**
     * Creates a handler for one term.
     *
     * @param storedRevision the revision of the settings record in the key-value store
     * @param onDurable applies changed settings once they are durable
     */
    public OperatorSettingsHandler(
            ClusterState cluster, CommitQueue commitQueue, long storedRevision, Consumer<OperatorSettings> onDurable) {
        this.cluster = cluster;
        this.commitQueue = commitQueue;
        this.entry =
                new StoredEntry(LeaderElection.OPERATOR_SETTINGS_KEY, storedRevision, () -> pendingSettings.write());
        this.onDurable = onDurable;
        this.pendingSettings = cluster.operatorSettings();
    }

    PeerMessage.Response describe() {
        return Responses.ok(200, cluster.operatorSettings().describe());
    }

    /** Changes the settings that the body names: all of them, or none if one is invalid. */
    void change(byte[] body, Consumer<PeerMessage.Response> reply) {
        apply(body, request -> pendingSettings.withChanges(request.path("change")), reply);
    }

    /** Resets the settings that the body names to their defaults, or all settings if it names none. */
    void reset(byte[] body, Consumer<PeerMessage.Response> reply) {
        apply(body, request -> pendingSettings.reset(request.path("names")), reply);
    }

    /** Derives the new settings from a request. */
    private interface Change {
        OperatorSettings apply(JsonNode request) throws InvalidOperatorSettingException;
    }

    private void apply(byte[] body, Change change, Consumer<PeerMessage.Response> reply) {
        JsonNode request = MessageCodec.decode(body);
        if (request == null || !request.isObject() || !request.path(REVISION).isIntegralNumber()) {
            reply.accept(Responses.error(400, "revision: missing or not a whole number"));
            return;
        }
        if (request.path(REVISION).asLong() != pendingSettings.revision()) {
            reply.accept(Responses.error(409, "revision: now at " + pendingSettings.revision()));
            return;
        }
        OperatorSettings changed;
        try {
            changed = change.apply(request);
        } catch (InvalidOperatorSettingException e) {
            reply.accept(Responses.error(400, e.getMessage()));
            return;
        }
        pendingSettings = changed;
        commitQueue.put(entry, () -> {
            onDurable.accept(changed);
            reply.accept(Responses.ok(200, changed.describe()));
        });
    }
}
