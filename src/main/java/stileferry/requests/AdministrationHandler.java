package stileferry.requests;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.leadership.LeaderElection;
import stileferry.protocol.InvalidOperatorSettingException;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.OperatorSettings;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;
import stileferry.protocol.UserMessages;
import stileferry.scheduling.Placement;
import stileferry.storage.CommitQueue;
import stileferry.storage.StoredEntry;

/** The administration API at the leader: the operators' settings, and views of what the leader knows. */
public final class AdministrationHandler {
    /** Answers stay well below the limit of a body. */
    private static final int MAX_BYTES = MessageCodec.MAX_BODY / 2;

    private final ClusterState cluster;
    private final Placement placement;
    private final CommitQueue ledger;
    private final StoredEntry entry;
    private final Supplier<ObjectNode> leader;
    private final Consumer<OperatorSettings> taken;
    private OperatorSettings pending;

    /** The row is what the state service holds; the consumer takes up settings once they are durable. */
    public AdministrationHandler(
            ClusterState cluster,
            Placement placement,
            CommitQueue ledger,
            long revision,
            Supplier<ObjectNode> leader,
            Consumer<OperatorSettings> taken) {
        this.cluster = cluster;
        this.placement = placement;
        this.ledger = ledger;
        this.entry = new StoredEntry(LeaderElection.OPERATOR_SETTINGS_KEY, revision, () -> pending.write());
        this.leader = leader;
        this.taken = taken;
        this.pending = cluster.operatorSettings();
    }

    /** Answers a request; the path has no prefix, the method is GET or POST. */
    public void request(
            String method,
            String path,
            String from,
            byte[] bytes,
            long now,
            long timeOfDay,
            Consumer<PeerMessage.Response> reply) {
        boolean get = method.equals("GET");
        switch (path) {
            case "settings" -> {
                if (get) {
                    reply.accept(Responses.ok(200, cluster.operatorSettings().describe()));
                } else {
                    change(bytes, false, reply);
                }
            }
            case "settings/reset" -> {
                if (get) {
                    reply.accept(Responses.refusal(405, "only POST here"));
                } else {
                    change(bytes, true, reply);
                }
            }
            case "leader" -> view(get, leader, reply);
            case "machines" -> view(get, () -> machines(from, now), reply);
            case "queue" -> view(get, () -> queue(from, now, timeOfDay), reply);
            case "teams" -> view(get, this::teams, reply);
            default -> reply.accept(Responses.refusal(404, "no such path"));
        }
    }

    public static void view(boolean get, Supplier<ObjectNode> view, Consumer<PeerMessage.Response> reply) {
        reply.accept(get ? Responses.ok(200, view.get()) : Responses.refusal(405, "only GET here"));
    }

    private void change(byte[] bytes, boolean reset, Consumer<PeerMessage.Response> reply) {
        JsonNode body = MessageCodec.decode(bytes);
        if (body == null || !body.isObject() || !body.path("revision").isIntegralNumber()) {
            reply.accept(Responses.refusal(400, "revision: missing or not a whole number"));
            return;
        }
        if (body.path("revision").asLong() != pending.revision()) {
            reply.accept(Responses.refusal(409, "revision: now at " + pending.revision()));
            return;
        }
        OperatorSettings next;
        try {
            next = reset ? pending.reset(body.path("names")) : pending.with(body.path("change"));
        } catch (InvalidOperatorSettingException e) {
            reply.accept(Responses.refusal(400, e.getMessage()));
            return;
        }
        pending = next;
        ledger.put(entry, () -> {
            taken.accept(next);
            reply.accept(Responses.ok(200, next.describe()));
        });
    }

    private ObjectNode machines(String from, long now) {
        ObjectNode answer = MessageCodec.map();
        ArrayNode list = answer.putArray("machines");
        int bytes = 0;
        boolean more = false;
        for (Machine machine : cluster.machines().values()) {
            if (machine.name().compareTo(from) <= 0) {
                continue;
            }
            if (bytes > MAX_BYTES) {
                more = true;
                break;
            }
            ObjectNode o = list.addObject();
            describe(machine, now, o);
            bytes += o.toString().length();
        }
        return answer.put("more", more);
    }

    private static void describe(Machine machine, long now, ObjectNode into) {
        boolean heard = machine.agent().heardThisTerm();
        into.put("name", machine.name())
                .put("type", machine.typeName())
                .put("zone", machine.zone())
                .put("spot", machine.spot())
                .put("state", state(machine))
                .put("session", machine.agent().incarnation())
                .put("heard_s", heard ? (now - machine.agent().lastHeardAt()) / 1000.0 : -1)
                .put("slowdown", machine.slowdown())
                .put("cpus_in_use", machine.usedCpus());
        ArrayNode tasks = into.putArray("tasks");
        machine.assignments().values().forEach(assignment -> tasks.add(assignment.taskId()));
    }

    private static String state(Machine machine) {
        if (machine.instance().terminating()) {
            return "returning";
        }
        if (!machine.agent().heardThisTerm()) {
            return "not heard";
        }
        if (machine.instance().quarantined()) {
            return "faulty";
        }
        if (machine.instance().reclaimNoticeS() >= 0) {
            return "leaving";
        }
        if (machine.instance().draining()) {
            return "emptying";
        }
        return machine.agent().hasOrphanTasks() ? "killing strays" : "in use";
    }

    private ObjectNode queue(String from, long now, long timeOfDay) {
        ObjectNode answer = MessageCodec.map();
        ArrayNode list = answer.putArray("queue");
        int skip = from.matches("[0-9]{1,9}") ? Integer.parseInt(from) : 0;
        int bytes = 0;
        int position = 0;
        boolean more = false;
        for (Job job : placement.queue(now, timeOfDay)) {
            position++;
            if (position <= skip) {
                continue;
            }
            if (bytes > MAX_BYTES) {
                more = true;
                break;
            }
            ObjectNode o = list.addObject()
                    .put("position", position)
                    .put("id", job.spec().id())
                    .put("class", job.spec().jobClass())
                    .put("team", job.spec().team())
                    .put("priority", job.spec().priority().name().toLowerCase(java.util.Locale.ROOT))
                    .put("within_guarantee", job.withinQuota())
                    .put("rank", placement.rank(job))
                    .put("waiting", job.pendingCount())
                    .put("why", placement.pendingReason(job, now));
            bytes += o.toString().length();
        }
        return answer.put("more", more);
    }

    private ObjectNode teams() {
        ObjectNode answer = MessageCodec.map();
        ArrayNode list = answer.putArray("teams");
        List<JobSpec.Priority> priorities = List.of(JobSpec.Priority.values());
        for (Settings.Team team : cluster.settings().teams()) {
            ObjectNode o = list.addObject()
                    .put("name", team.name())
                    .put("cpus", team.cpus())
                    .put("cpus_max", team.cpusMax())
                    .put("cpus_in_use", cluster.cpusInUse(team.name()))
                    .put("gpus", team.gpus())
                    .put("gpus_max", team.gpusMax())
                    .put("gpus_in_use", cluster.gpusInUse(team.name()));
            int[] waiting = new int[priorities.size()];
            for (Job job : cluster.jobs().values()) {
                if (job.spec().team().equals(team.name())) {
                    waiting[job.spec().priority().ordinal()] += job.pendingCount();
                }
            }
            ObjectNode w = o.putObject("waiting");
            priorities.forEach(p -> w.put(p.name().toLowerCase(java.util.Locale.ROOT), waiting[p.ordinal()]));
        }
        return answer;
    }

    /** What a request that can't be answered now gets. */
    public static PeerMessage.Response unavailable() {
        return new PeerMessage.Response(
                503, 1, MessageCodec.encode(UserMessages.error("no leader, or not sure of it")));
    }
}
