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

/** Builds the leader's views of machines, queue and teams for the administration API. */
public final class AdministrationViews {
    /** A page is full once its JSON exceeds this many characters; this keeps it well below the maximum body size. */
    private static final int MAX_PAGE_CHARS = MessageCodec.MAX_BODY_BYTES / 2;

    private static final double MS_PER_S = 1000.0;

    private final ClusterState cluster;
    private final Placement placement;
    private final Environment environment;

    /** Creates the views of one term's state. */
    public AdministrationViews(ClusterState cluster, Placement placement, Environment environment) {
        this.cluster = cluster;
        this.placement = placement;
        this.environment = environment;
    }

    /** Returns the machines whose names sort after {@code startAfter}, as many as fit into one response. */
    ObjectNode machines(String startAfter) {
        long now = environment.now();
        Page page = new Page("machines");
        for (Machine machine : cluster.machines().values()) {
            if (machine.name().compareTo(startAfter) <= 0) {
                continue;
            }
            if (page.isFull()) {
                return page.finish(true);
            }
            page.add(describe(machine, now));
        }
        return page.finish(false);
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
                .put("slowdown", machine.averageSlowdown())
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

    /**
     * Returns the queued jobs after a position in the queue, as many as fit into one response.
     *
     * @param startAfter the position, from 1; any text other than one to nine digits selects the start of the queue
     */
    ObjectNode queue(String startAfter) {
        long now = environment.now();
        Page page = new Page("queue");
        int skip = startAfter.matches("[0-9]{1,9}") ? Integer.parseInt(startAfter) : 0;
        int position = 0;
        for (Job job : placement.queue(now, environment.timeOfDay())) {
            position++;
            if (position <= skip) {
                continue;
            }
            if (page.isFull()) {
                return page.finish(true);
            }
            page.add(describe(job, position, now));
        }
        return page.finish(false);
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

    /** Returns the teams with their quotas, limits, usage and pending tasks. */
    ObjectNode teams() {
        ObjectNode response = MessageCodec.map();
        ArrayNode list = response.putArray("teams");
        for (Settings.Team team : cluster.settings().teams()) {
            ObjectNode view = list.addObject()
                    .put("name", team.name())
                    .put("cpus", team.guaranteedCpus())
                    .put("cpus_max", team.maxCpus())
                    .put("cpus_in_use", cluster.teamLimits().cpusInUse(team.name()))
                    .put("gpus", team.guaranteedGpus())
                    .put("gpus_max", team.maxGpus())
                    .put("gpus_in_use", cluster.teamLimits().gpusInUse(team.name()));
            describePendingTasks(team, view.putObject("waiting"));
        }
        return response;
    }

    private void describePendingTasks(Settings.Team team, ObjectNode pending) {
        int[] pendingByPriority = new int[JobSpec.Priority.values().length];
        for (Job job : cluster.jobs().values()) {
            if (job.spec().team().equals(team.name())) {
                pendingByPriority[job.spec().priority().ordinal()] += job.pendingCount();
            }
        }
        for (JobSpec.Priority priority : JobSpec.Priority.values()) {
            pending.put(priority.wireName(), pendingByPriority[priority.ordinal()]);
        }
    }

    /** One page of a list, which ends before the response becomes too long. */
    private static final class Page {
        private final ObjectNode view = MessageCodec.map();
        private final ArrayNode list;
        private int chars;

        Page(String name) {
            list = view.putArray(name);
        }

        boolean isFull() {
            return chars > MAX_PAGE_CHARS;
        }

        void add(ObjectNode element) {
            list.add(element);
            chars += element.toString().length();
        }

        /** Returns the page; {@code more} says whether the list continues after it. */
        ObjectNode finish(boolean more) {
            return view.put("more", more);
        }
    }
}
