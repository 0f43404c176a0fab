package stileferry.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MachineType;
import stileferry.protocol.OperatorSettings;
import stileferry.protocol.Settings;

/**
 * Decides what runs where: JR-backfilling orders the jobs, the lowest average bounded slowdown chooses the machine
 * (Rodero, Guim, Corbalan: "Performance-driven Coordinated Grid Scheduling", section III).
 */
public final class Placement {
    /**
     * Averages are compared in steps of this size. Finer differences say which machine happened to fetch an image
     * for its last few tasks, and following them sends tasks away from the machines that hold their images.
     */
    private static final double SLOWDOWN_STEP = 0.25;

    /** After so many times as long as a job was kept back for its image, it may be so again. */
    private static final int KEPT_BACK_AGAIN = 8;

    /** A gang waits for the slowest of its fetches: they take up to a third longer than the nominal rate says. */
    private static final double SLOW_FETCH = 4 / 3.0;

    /** When another image is fetched at the same time, both take as long as together. */
    private static final double SHARED_FETCH = 2;

    /** Starts of one turn; more go on in the next, so that reports and renewals are not late. */
    private static final int STARTS_A_TURN = 400;

    private final ClusterState cluster;
    private boolean stoppedEarly;
    private boolean keptBack;

    /** What found no room in a pass. Room only gets less in a pass, so whoever asks for as much finds none either. */
    static final class UnplaceableRequests {
        private final List<JobSpec> specs = new ArrayList<>();

        /** Takes in a job without room; false when that says nothing about others. */
        boolean add(Job job) {
            JobSpec spec = job.spec();
            if (spec.gang()
                    || spec.oneZone()
                    || spec.spreadAcrossZones()
                    || job.failures().machineCount() > 0) {
                return false; // it may have been kept away by what concerns no other job
            }
            specs.add(spec);
            return true;
        }

        boolean cover(Job job) {
            JobSpec spec = job.spec();
            for (JobSpec m : specs) {
                if (m.cpus() <= spec.cpus()
                        && m.gpus() <= spec.gpus()
                        && m.memoryGb() <= spec.memoryGb()
                        && (m.allowsSpot() || !spec.allowsSpot())
                        && (m.zone() == null || m.zone().equals(spec.zone()))
                        && (m.machineTypes() == null
                                || spec.machineTypes() != null
                                        && m.machineTypes().containsAll(spec.machineTypes()))) {
                    return true;
                }
            }
            return false;
        }
    }

    public Placement(ClusterState cluster) {
        this.cluster = cluster;
    }

    /** Marks the jobs that fit into their team's guarantee together with the team's earlier jobs. */
    void markGuaranteed() {
        Map<String, double[]> sums = new HashMap<>();
        for (Job job : cluster.jobs().values()) { // kept in order of submission
            Settings.Team team = cluster.settings().team(job.spec().team());
            if (team == null || job.cancelled() || !job.accepted()) {
                job.setWithinQuota(false);
                continue;
            }
            double[] sum = sums.computeIfAbsent(team.name(), n -> new double[2]);
            sum[0] += job.unfinishedCount() * job.spec().cpus();
            sum[1] += job.unfinishedCount() * job.spec().gpus();
            job.setWithinQuota(sum[0] <= team.cpus() && sum[1] <= Math.max(team.gpus(), 0));
        }
    }

    /** True for a job that waits too long for its first task: it goes before all others, with that task only. */
    boolean overdue(Job job, long timeOfDay) {
        return !job.started()
                && job.assignments().isEmpty()
                && timeOfDay - job.acceptedAt()
                        > 1000 * cluster.operatorSettings().number(OperatorSettings.BEGIN_WITHIN_S);
    }

    /** Jobs with a task that waits, in queue order. */
    public List<Job> queue(long now, long timeOfDay) {
        List<Job> queue = new ArrayList<>();
        for (Job job : cluster.jobs().values()) {
            if (job.nextPendingTask(now) >= 0) {
                queue.add(job);
            }
        }
        queue.sort(Comparator.<Job, Boolean>comparing(j -> !overdue(j, timeOfDay))
                .thenComparing(j -> j.spec().priority())
                .thenComparing(j -> !j.withinQuota())
                .thenComparingLong(j -> j.acceptanceOrder()));
        return queue;
    }

    /**
     * One pass. The head goes first if it fits, else the fitting job with the lowest rank times position, until
     * nothing fits; where work may be stopped, critical tasks may be kept back for it. Returns the jobs that still wait
     * for room, in queue order. A pass that starts too much for one turn stops early; see {@link #stoppedEarly}.
     */
    List<Job> pass(long now, long timeOfDay, boolean preempts, BiConsumer<Job, List<Machine>> start) {
        markGuaranteed();
        double protectAfterMs = 1000 * cluster.operatorSettings().number(OperatorSettings.HEAD_PROTECTION_S);
        List<Job> queue = queue(now, timeOfDay);
        List<Job> open = new ArrayList<>(queue); // the same, with null for jobs that are stuck
        double[] ranks = new double[queue.size()];
        for (int i = 0; i < ranks.length; i++) {
            ranks[i] = rank(queue.get(i));
        }
        UnplaceableRequests unplaceable = new UnplaceableRequests();
        int left = queue.size();
        int starts = 0;
        boolean again = false;
        Job keptFor = null;
        Machine kept = null;
        while (left > 0 && starts < STARTS_A_TURN) {
            int at = 0;
            if (open.get(0) == null) {
                at = -1;
                double lowest = Double.MAX_VALUE;
                for (int i = 1; i < open.size(); i++) {
                    if (open.get(i) != null && ranks[i] * (i + 1) < lowest) {
                        lowest = ranks[i] * (i + 1);
                        at = i;
                    }
                }
            }
            Job pick = open.get(at);
            Job head = queue.get(0);
            Predicate<Machine> usable = m -> true;
            if (pick != head && timeOfDay - head.acceptedAt() > protectAfterMs) {
                usable = m -> !head.spec().fitsType(m.type());
            } else if (pick != head && overdue(head, timeOfDay)) {
                if (keptFor != head) {
                    keptFor = head;
                    kept = roomiest(head, now);
                }
                Machine room = kept;
                usable = m -> m != room;
            }
            keptBack = false;
            List<Machine> machines = pick.spec().gang() ? chooseAll(pick, usable, now) : chooseOne(pick, usable, now);
            if (preempts && !machines.isEmpty() && betterMakeRoom(pick, machines, now)) {
                keptBack = true;
                machines = List.of();
            }
            if (!machines.isEmpty()) {
                boolean first = overdue(pick, timeOfDay);
                start.accept(pick, machines);
                starts += machines.size();
                again |= first; // the rest of it in its usual place, in another pass
                if (first || pick.nextPendingTask(now) < 0) {
                    queue.remove(at);
                    open.remove(at);
                    System.arraycopy(ranks, at + 1, ranks, at, ranks.length - at - 1);
                    left--;
                }
                continue;
            }
            open.set(at, null);
            left--;
            if (!keptBack && unplaceable.add(pick) && cluster.withinTeamLimit(pick)) {
                // nobody who asks for as much or more finds room before something ends
                for (int i = 0; i < open.size(); i++) {
                    if (open.get(i) != null && unplaceable.cover(open.get(i))) {
                        open.set(i, null);
                        left--;
                    }
                }
            }
        }
        stoppedEarly = left > 0 || again;
        return queue;
    }

    /** Whether the last pass stopped before everything that fits was started. */
    public boolean stoppedEarly() {
        return stoppedEarly;
    }

    /** Requested CPUs, GPUs and memory over the largest machine's, summed. */
    public double rank(Job job) {
        double cpus = 1;
        double gpus = 1;
        double memory = 1;
        for (MachineType type : cluster.machineTypes()) {
            cpus = Math.max(cpus, type.cpus());
            gpus = Math.max(gpus, type.gpus());
            memory = Math.max(memory, type.memoryGb());
        }
        return job.spec().cpus() / cpus + job.spec().gpus() / gpus + job.spec().memoryGb() / memory;
    }

    /** The machine that is nearest to having room for a task of this job. */
    private Machine roomiest(Job job, long now) {
        Machine best = null;
        for (Machine machine : cluster.machines().values()) {
            if (machine.agent().heardThisTerm()
                    && allowed(job, machine, now)
                    && (best == null
                            || machine.type().cpus() - machine.usedCpus()
                                    > best.type().cpus() - best.usedCpus())) {
                best = machine;
            }
        }
        return best;
    }

    private List<Machine> chooseOne(Job job, Predicate<Machine> usable, long now) {
        Machine machine = choose(job, usable, now);
        return machine == null ? List.of() : List.of(machine);
    }

    /**
     * Whether a critical task, or an urgent gang, should rather have room made where its image is than fetch it here:
     * stopping the work of a moment costs less than its users' wait. Only for half the time in which its tasks shall
     * start.
     */
    private boolean betterMakeRoom(Job job, List<Machine> chosen, long now) {
        boolean mayAskForRoom = job.spec().priority() == JobSpec.Priority.CRITICAL
                || job.spec().gang() && job.spec().priority() == JobSpec.Priority.URGENT;
        double fetchTimes = job.spec().gang() ? SLOW_FETCH : 1;
        if (!mayAskForRoom
                || fetches(job, chosen) == 0
                || !fetchMissesAim(job, chosen.get(0).type(), fetchTimes)) {
            return false;
        }
        long patience = Math.round(500 * startAim(job));
        if (now - job.heldBackSince() > KEPT_BACK_AGAIN * patience) {
            job.holdBack(now); // another task, or the same lost once more
        }
        return now - job.heldBackSince() <= patience && roomCanBeMadeAtImage(job, now);
    }

    /**
     * Whether one task, or a whole gang, would fit on machines that hold its image beside work that may not be
     * stopped.
     */
    private boolean roomCanBeMadeAtImage(Job job, long now) {
        int wanted = job.spec().gang() ? job.spec().taskCount() : 1;
        Map<String, Integer> fitting = new HashMap<>();
        for (Machine machine : cluster.machines().values()) {
            if (machine.agent().heardThisTerm() && machine.hasImage(job.spec().image()) && allowed(job, machine, now)) {
                String together = job.spec().oneZone() ? machine.zone() : "";
                if (fitting.merge(together, machine.tasksFittingWithPreemption(job), Integer::sum) >= wanted) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Whether room is being made for this job, so that nothing has to be rented for it. */
    boolean keptBack(Job job, long now) {
        return job.heldBackSince() != 0 && now - job.heldBackSince() <= 500 * startAim(job);
    }

    /**
     * Machines for every task of a gang, or none. Where all must be in one zone, that of the best machine comes
     * first. It may lack room for the rest, so the other zones are tried too; and where the gang's start can't wait
     * for a fetch, they are tried for one with fewer images to fetch.
     */
    private List<Machine> chooseAll(Job job, Predicate<Machine> usable, long now) {
        List<Machine> best = tryAll(job, usable, now);
        if (!job.spec().oneZone()) {
            return best;
        }
        for (String zone : cluster.settings().zones()) {
            if (!best.isEmpty()
                    && (fetches(job, best) == 0 || !needsImage(job, best.get(0).type()))) {
                return best;
            }
            List<Machine> here = tryAll(job, usable.and(m -> m.zone().equals(zone)), now);
            if (best.isEmpty() || !here.isEmpty() && fetches(job, here) < fetches(job, best)) {
                best = here;
            }
        }
        return best;
    }

    /** Tasks whose machine has yet to fetch the image. */
    private static int fetches(Job job, List<Machine> machines) {
        int fetches = 0;
        for (Machine machine : machines) {
            fetches += machine.hasImage(job.spec().image()) ? 0 : 1;
        }
        return fetches;
    }

    /** Tried out with claims that are taken back at once. */
    private List<Machine> tryAll(Job job, Predicate<Machine> usable, long now) {
        List<Machine> machines = new ArrayList<>();
        List<TaskAssignment> tried = new ArrayList<>();
        int index = job.nextUnassignedTask(0);
        while (index < job.spec().taskCount()) {
            Machine machine = choose(job, usable, now);
            if (machine == null) {
                machines.clear();
                break;
            }
            machines.add(machine);
            TaskAssignment claim = new TaskAssignment(
                    job, index, 0, machine.name(), machine.agent().incarnation(), now);
            cluster.assign(claim);
            tried.add(claim);
            index = job.nextUnassignedTask(index);
        }
        tried.forEach(c -> cluster.unassign(c, false));
        return machines;
    }

    Machine choose(Job job, Predicate<Machine> usable, long now) {
        if (!cluster.withinTeamLimit(job)) {
            return null;
        }
        Machine[] best = new Machine[1];
        cluster.freeCapacity().visitWithAtLeast(job.spec().cpus(), machine -> {
            if (machine.fits(job)
                    && cluster.reservations().leaveCapacity(machine, job)
                    && allowed(job, machine, now)
                    && usable.test(machine)
                    && (best[0] == null || better(job, machine, best[0]))) {
                best[0] = machine;
            }
        });
        return best[0];
    }

    /** Whether a machine is the better one of two; a total order, so that the search's order does not matter. */
    boolean better(Job job, Machine machine, Machine than) {
        int byImage = machine.imageLocality(job.spec().image())
                - than.imageLocality(job.spec().image());
        int byFetches = machine.imageLocality(job.spec().image()) == 0
                ? machine.imagesBeingPulled() - than.imagesBeingPulled()
                : 0;
        if ((byImage != 0 || byFetches != 0) && needsImage(job, machine.type())) {
            return byImage != 0 ? byImage > 0 : byFetches < 0;
        }
        long bySlowdown = Math.round(machine.slowdown() / SLOWDOWN_STEP) - Math.round(than.slowdown() / SLOWDOWN_STEP);
        if (bySlowdown != 0) {
            return bySlowdown < 0;
        }
        if (byImage != 0) {
            return byImage > 0;
        }
        if (byFetches != 0) {
            return byFetches < 0; // images that are fetched at the same time share a machine's rate
        }
        if (job.spec().allowsSpot() && machine.spot() != than.spot()) {
            return machine.spot(); // leaves room on ordinary machines for work that may not go elsewhere
        }
        if (job.spec().service()) {
            int byZone = Integer.compare(job.tasksInZone(machine.zone()), job.tasksInZone(than.zone()));
            if (byZone != 0) {
                return byZone < 0;
            }
        }
        int byRoom = Double.compare(
                machine.type().cpus() - machine.usedCpus(), than.type().cpus() - than.usedCpus());
        return byRoom != 0 ? byRoom < 0 : machine.compareTo(than) < 0;
    }

    /** True when the job is expected to start sooner than its image can be fetched. */
    boolean needsImage(Job job, MachineType type) {
        return fetchMissesAim(job, type, job.spec().gang() ? SHARED_FETCH : 1);
    }

    /** Whether a fetch that takes so many times its nominal time ends after the job is expected to start. */
    private boolean fetchMissesAim(Job job, MachineType type, double times) {
        return startAim(job) < times * job.spec().imageGb() / type.fetchGbPerS();
    }

    /** Seconds within which tasks of this job shall start; without end when nothing is said of that. */
    double startAim(Job job) {
        for (Settings.ServiceLevelObjective aim : cluster.settings().objectives()) {
            if (aim.kind().equals("wait") && aim.jobClass().equals(job.spec().jobClass())) {
                return aim.withinS();
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /** Why the next task of this job has not started, in words for operators. */
    public String pendingReason(Job job, long now) {
        if (!cluster.withinTeamLimit(job)) {
            return "its team is at its limit";
        }
        int allowed = 0;
        for (Machine machine : cluster.machines().values()) {
            allowed += machine.type() != null && allowed(job, machine, now) ? 1 : 0;
        }
        return allowed == 0
                ? "no machine that it may use is up"
                : "no room on " + allowed + " machines that it may use";
    }

    /** Everything but room: type, zone, kind of machine, the job's other tasks, and the machine's health. */
    boolean allowed(Job job, Machine machine, long now) {
        JobSpec spec = job.spec();
        return machine.schedulable()
                && machine.agent().lastHeartbeatRecord() == null
                && now >= machine.instance().cordonedUntil()
                && now - machine.agent().lastHeardAt()
                        < 3000 * cluster.settings().workers().heartbeatIntervalS()
                && spec.fitsType(machine.type())
                && (spec.zone() == null || spec.zone().equals(machine.zone()))
                && (spec.allowsSpot() || !machine.spot())
                && zoneAllowed(job, machine.zone())
                && (!job.failures().failedOn(machine.name()) || job.failures().machineCount() >= 3);
    }

    /** Zone rules against all tasks of the job that may be on machines. */
    static boolean zoneAllowed(Job job, String zone) {
        if (job.spec().oneZone()) {
            for (String used : job.zones()) {
                if (!used.equals(zone)) {
                    return false;
                }
            }
        }
        // tasks on machines whose zone is not known yet (after a change of leader) may be in this one
        int here = job.tasksInZone(zone) + job.tasksInZone("");
        return !job.spec().spreadAcrossZones() || here < (job.spec().taskCount() + 1) / 2;
    }
}
