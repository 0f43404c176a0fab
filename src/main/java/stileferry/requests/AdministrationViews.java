package stileferry.requests;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.protocol.Environment;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.Settings;
import stileferry.scheduling.Placement;

/** The leader's views of machines, queue and teams in the administration API. */
public final class AdministrationViews {
    /** Answers stay well below the limit of a body; measured in characters of JSON. */
    private static final int MAX_LIST_LENGTH = MessageCodec.MAX_BODY_BYTES / 2;

    private static final double MS_PER_S = 1000.0;

    private final ClusterState cluster;
    private final Placement placement;
    private final Environment environment;

    /** Views of one term's state. */
    public AdministrationViews(ClusterState cluster, Placement placement, Environment environment) {
        this.cluster = cluster;
        this.placement = placement;
        this.environment = environment;
    }

    /** The machines whose names come after the given one, as many as fit into an answer. */
    ObjectNode machines(String from) {
        long now = environment.now();
        Page page = new Page("machines");
        for (Machine machine : cluster.machines().values()) {
            if (machine.name().compareTo(from) <= 0) {
                continue;
            }
            if (page.isFull()) {
                return page.answer(true);
            }
            page.add(describe(machine, now));
        }
        return page.answer(false);
    }

    private static ObjectNode describe(Machine machine, long now) {
        boolean heard = machine.agent().heardThisTerm();
        ObjectNode view = MessageCodec.map()
                .put("name", machine.name())
                .put("type", machine.typeName())
                .put("zone", machine.zone())
                .put("spot", machine.spot())
                .put("state", state(machine))
                .put("session", machine.agent().incarnation())
                .put("heard_s", heard ? (now - machine.agent().lastHeardAt()) / MS_PER_S : -1)
                .put("slowdown", machine.slowdown())
                .put("cpus_in_use", machine.usedCpus());
        ArrayNode tasks = view.putArray("tasks");
        machine.assignments().values().forEach(assignment -> tasks.add(assignment.taskId()));
        return view;
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

    /** The waiting jobs after the given position in the queue, as many as fit into an answer. */
    ObjectNode queue(String from) {
        long now = environment.now();
        Page page = new Page("queue");
        int skip = from.matches("[0-9]{1,9}") ? Integer.parseInt(from) : 0;
        int position = 0;
        for (Job job : placement.queue(now, environment.timeOfDay())) {
            position++;
            if (position <= skip) {
                continue;
            }
            if (page.isFull()) {
                return page.answer(true);
            }
            page.add(describe(job, position, now));
        }
        return page.answer(false);
    }

    private ObjectNode describe(Job job, int position, long now) {
        return MessageCodec.map()
                .put("position", position)
                .put("id", job.spec().id())
                .put("class", job.spec().jobClass())
                .put("team", job.spec().team())
                .put("priority", job.spec().priority().wireName())
                .put("within_guarantee", job.withinQuota())
                .put("rank", placement.rank(job))
                .put("waiting", job.pendingCount())
                .put("why", placement.pendingReason(job, now));
    }

    /** The teams with their limits, use and waiting tasks. */
    ObjectNode teams() {
        ObjectNode answer = MessageCodec.map();
        ArrayNode list = answer.putArray("teams");
        for (Settings.Team team : cluster.settings().teams()) {
            ObjectNode view = list.addObject()
                    .put("name", team.name())
                    .put("cpus", team.guaranteedCpus())
                    .put("cpus_max", team.maxCpus())
                    .put("cpus_in_use", cluster.cpusInUse(team.name()))
                    .put("gpus", team.guaranteedGpus())
                    .put("gpus_max", team.maxGpus())
                    .put("gpus_in_use", cluster.gpusInUse(team.name()));
            describeWaitingTasks(team, view.putObject("waiting"));
        }
        return answer;
    }

    private void describeWaitingTasks(Settings.Team team, ObjectNode waiting) {
        int[] pendingByPriority = new int[JobSpec.Priority.values().length];
        for (Job job : cluster.jobs().values()) {
            if (job.spec().team().equals(team.name())) {
                pendingByPriority[job.spec().priority().ordinal()] += job.pendingCount();
            }
        }
        for (JobSpec.Priority priority : JobSpec.Priority.values()) {
            waiting.put(priority.wireName(), pendingByPriority[priority.ordinal()]);
        }
    }

    /** A list that ends where the answer would become too long. */
    private static final class Page {
        private final ObjectNode answer = MessageCodec.map();
        private final ArrayNode list;
        private int length;

        Page(String name) {
            list = answer.putArray(name);
        }

        boolean isFull() {
            return length > MAX_LIST_LENGTH;
        }

        void add(ObjectNode element) {
            list.add(element);
            length += element.toString().length();
        }

        /** The page; {@code more}: whether the list goes on. */
        ObjectNode answer(boolean more) {
            return answer.put("more", more);
        }
    }
}
