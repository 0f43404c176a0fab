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

/** Shows and changes the operators' settings; a change is answered, and takes effect, once it is durable. */
public final class OperatorSettingsHandler {
    private static final String REVISION = "revision";

    private final ClusterState cluster;
    private final CommitQueue commitQueue;
    private final StoredEntry entry;
    private final Consumer<OperatorSettings> onDurable;

    /** The settings with all changes, also those that are not durable yet. */
    private OperatorSettings pending;

    /**
     * A handler for one term.
     *
     * @param storedRevision the revision of the settings' record in the key-value store
     * @param onDurable takes up changed settings
     */
    public OperatorSettingsHandler(
            ClusterState cluster, CommitQueue commitQueue, long storedRevision, Consumer<OperatorSettings> onDurable) {
        this.cluster = cluster;
        this.commitQueue = commitQueue;
        this.entry = new StoredEntry(LeaderElection.OPERATOR_SETTINGS_KEY, storedRevision, () -> pending.write());
        this.onDurable = onDurable;
        this.pending = cluster.operatorSettings();
    }

    PeerMessage.Response describe() {
        return Responses.ok(200, cluster.operatorSettings().describe());
    }

    /** Changes the settings that are named in the body. */
    void change(byte[] body, Consumer<PeerMessage.Response> reply) {
        apply(body, request -> pending.withChanges(request.path("change")), reply);
    }

    /** Puts the settings that are named in the body, or all, back to their defaults. */
    void reset(byte[] body, Consumer<PeerMessage.Response> reply) {
        apply(body, request -> pending.reset(request.path("names")), reply);
    }

    /** Makes new settings from a request. */
    private interface Change {
        OperatorSettings apply(JsonNode request) throws InvalidOperatorSettingException;
    }

    private void apply(byte[] body, Change change, Consumer<PeerMessage.Response> reply) {
        JsonNode request = MessageCodec.decode(body);
        if (request == null || !request.isObject() || !request.path(REVISION).isIntegralNumber()) {
            reply.accept(Responses.refusal(400, "revision: missing or not a whole number"));
            return;
        }
        if (request.path(REVISION).asLong() != pending.revision()) {
            reply.accept(Responses.refusal(409, "revision: now at " + pending.revision()));
            return;
        }
        OperatorSettings changed;
        try {
            changed = change.apply(request);
        } catch (InvalidOperatorSettingException e) {
            reply.accept(Responses.refusal(400, e.getMessage()));
            return;
        }
        pending = changed;
        commitQueue.put(entry, () -> {
            onDurable.accept(changed);
            reply.accept(Responses.ok(200, changed.describe()));
        });
    }
}
