package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import stileferry.admission.AdmissionCounts;
import stileferry.cluster.Job;
import stileferry.leadership.LeaderElection;
import stileferry.overload.AdmissionCountShards;
import stileferry.protocol.Environment;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;
import stileferry.storage.CommitQueue;
import stileferry.storage.KeyValueStoreClient;
import stileferry.storage.StoredEntry;

/** The leader of a model of admission, with the real queue of commits and count. */
final class AdmissionModelLeader implements Environment {
    private static final AdmissionCounts.TeamClass CELL = new AdmissionCounts.TeamClass("red", "*");

    private final AdmissionModel model;
    final CommitQueue commits;
    final AdmissionCountShards countShards;
    boolean lostLeadership;

    AdmissionModelLeader(AdmissionModel model) {
        this.model = model;
        long fence = model.rows(LeaderElection.LEADER_KEY).get(0).revision();
        KeyValueStoreClient client = new KeyValueStoreClient(this, AdmissionModel.settings());
        commits = new CommitQueue(
                this, client, LeaderElection.LEADER_KEY, fence, model.term, () -> lostLeadership = true);
        countShards = new AdmissionCountShards(model.rows(AdmissionCountShards.PREFIX), 1, 8);
        if (model.count == AdmissionModel.Count.WITH_THE_JOB) {
            commits.setTransactionCounter(countShards);
        }
    }

    void accept(String id) {
        StoredEntry job = new StoredEntry(Job.key(id), 0, MessageCodec::map);
        if (model.count == AdmissionModel.Count.WITH_THE_JOB) {
            countShards.count(job, CELL);
            commits.put(job, null);
        } else {
            commits.put(job, () -> {
                countShards.count(job, CELL);
                commits.put(countShards.count(List.of(job)), null);
                commits.flush();
            });
        }
        commits.flush();
    }

    @Override
    public long now() {
        return model.now;
    }

    @Override
    public long timeOfDay() {
        return model.now;
    }

    @Override
    public RandomGenerator random() {
        return new SplittableRandom(1);
    }

    @Override
    public void setLogLevel(String level) {}

    @Override
    public void schedule(long delayMs, Runnable task) {
        model.after(delayMs, task);
    }

    @Override
    public void request(String addr, String method, String path, JsonNode body, long timeoutMs, ResponseHandler reply) {
        model.requests.add(new AdmissionModel.Request(method, path, body == null ? null : body.deepCopy(), reply));
    }

    @Override
    public void sendToPeer(Settings.Peer peer, PeerMessage record, long timeoutMs, Consumer<PeerMessage> reply) {}
}
