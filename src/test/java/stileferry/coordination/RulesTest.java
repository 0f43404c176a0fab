package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.protocol.JobSpec;
import stileferry.standin.Worker;

/** Seeded random days in a simulated world; every rule is checked at every step. */
class RulesTest {
    private static JobSpec job(int number, SplittableRandom r) {
        JobSpec.Kind kind = r.nextInt(5) == 0 ? JobSpec.Kind.SERVICE : JobSpec.Kind.ARRAY;
        String team = List.of("red", "blue", "free").get(r.nextInt(3));
        JobSpec.Priority priority = kind == JobSpec.Kind.SERVICE ? JobSpec.Priority.CRITICAL
                : r.nextBoolean() ? JobSpec.Priority.NORMAL : JobSpec.Priority.IDLE;
        boolean saves = r.nextBoolean();
        return new JobSpec("job-" + (1000 + number), "any", team, kind, priority,
                kind == JobSpec.Kind.SERVICE ? 1 + r.nextInt(3) : 1 + r.nextInt(8), 1 + r.nextInt(4), 0,
                1 + r.nextInt(8), "img" + r.nextInt(3), 1, null, r.nextInt(6) == 0 ? "za" : null,
                r.nextInt(5) == 0, r.nextInt(3) == 0, kind == JobSpec.Kind.ARRAY && r.nextBoolean(),
                kind == JobSpec.Kind.SERVICE ? 0 : 2 + r.nextInt(20), saves ? 3 : 0, saves ? 1 : 0, -1);
    }

    /** A day with users at work and one trouble after the other, until all is quiet again at the end. */
    static World day(long seed, double seconds) {
        World w = new World(seed);
        SplittableRandom r = w.random.split();
        w.play(3);
        int jobs = 0;
        for (double t = 0; t < seconds && w.violations.isEmpty(); t += 2) {
            if (r.nextInt(3) != 0) {
                w.submit(job(jobs++, r));
            }
            if (r.nextInt(8) == 0 && !w.users.isEmpty()) {
                List<World.User> open = w.users.values().stream().filter(u -> u.accepted && !u.wantsCancel).toList();
                if (!open.isEmpty()) {
                    w.cancel(open.get(r.nextInt(open.size())));
                }
            }
            if (r.nextInt(5) == 0) {
                trouble(w, r);
            }
            w.play(2);
        }
        w.stateDown = false;
        w.refused.clear();
        w.lostAnswers = 0;
        w.play(90); // until every submission has been answered or given up
        for (World.User u : List.copyOf(w.users.values())) {
            if (u.spec.service() && u.accepted && !u.wantsCancel) {
                w.cancel(u);
            }
        }
        w.play(200);
        return w;
    }

    private static void trouble(World w, SplittableRandom r) {
        List<World.Node> nodes = List.copyOf(w.nodes.values());
        World.Node node = nodes.get(r.nextInt(3));
        List<String> machines = w.cloud.up();
        String machine = machines.isEmpty() ? null : machines.get(r.nextInt(machines.size()));
        String addr = "w-" + machine + ":1";
        switch (r.nextInt(10)) {
            case 0, 1 -> restart(w, node, r.nextBoolean() ? 300 : 5000);
            case 2 -> nodes.forEach(n -> restart(w, n, 1000 + r.nextLong(4000)));
            case 3 -> w.cut(node.settings.node(), 1000 + r.nextLong(20_000));
            case 4 -> w.cut(addr, 1000 + r.nextLong(20_000));
            case 5 -> {
                w.stateDown = true;
                w.after(1000 + r.nextLong(15_000), () -> {
                    w.stateDown = false;
                    w.state.renewAll(w.now);
                });
            }
            case 6 -> {
                w.refused.add(node.settings.node());
                w.after(1000 + r.nextLong(20_000), () -> w.refused.remove(node.settings.node()));
            }
            case 7 -> {
                if (machine != null) {
                    w.cloud.take(machine);
                }
            }
            case 8 -> {
                Worker sick = w.workers.get(addr);
                if (sick != null) {
                    sick.faulty(true);
                    w.after(15_000, () -> sick.faulty(false));
                }
            }
            default -> {
                w.lostAnswers = 0.2;
                w.after(4000, () -> w.lostAnswers = 0);
            }
        }
    }

    private static void restart(World w, World.Node node, long afterMs) {
        if (node.up()) {
            node.crash();
            w.after(afterMs, node::start);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void noRuleIsBrokenAndAllWorkIsDoneInTheEnd(long seed) {
        World w = day(seed, 120);
        assertEquals(List.of(), w.violations);
        List<String> open = w.users.values().stream().filter(u -> u.accepted && u.end == null)
                .map(u -> u.spec.toString()).toList();
        assertEquals(List.of(), open, "jobs that are neither done nor cancelled long after the last trouble");
        assertTrue(w.starts > 20, "too little happened: " + w.starts + " starts");
    }

    @Test
    void theSameSeedPlaysTheSameDay() {
        World a = day(77, 60);
        World b = day(77, 60);
        assertEquals(a.starts, b.starts);
        assertEquals(a.finished, b.finished);
        assertEquals(a.now, b.now);
    }

    /** The checks must be able to fail: a worker that outlives its lease breaks a proof that the service relies on. */
    @Test
    void aFalseProofIsCaught() {
        World w = new World(100);
        w.play(3);
        for (int i = 0; i < 12; i++) {
            w.submit(new JobSpec("job-" + i, "any", "free", JobSpec.Kind.SERVICE, JobSpec.Priority.CRITICAL, 2, 2, 0, 1,
                    "img", 1, null, null, false, false, false, 0, 0, 0, -1));
        }
        w.play(15);
        Worker worker = w.workers.get("w-" + w.machineInUse() + ":1");
        worker.ignoreLease();
        w.cut(worker.addr(), 60_000);
        w.play(40);
        assertTrue(w.violations.stream().anyMatch(v -> v.startsWith("ran_twice")), "nobody noticed: " + w.violations);
    }

    /** Found on the bench: a record deleted while its last change was under way made the leader's next commit fail. */
    @Test
    void aLeaderWithoutTroublesKeepsItsTerm() {
        World w = new World(6);
        SplittableRandom r = w.random.split();
        w.play(3);
        for (int i = 0; i < 60; i++) {
            w.submit(job(i, r));
            w.play(2);
        }
        assertEquals(1, w.state.value("a/term").path("term").asLong());
        assertEquals(List.of(), w.violations);
    }

    /** Found on the bench: machines that were returned came back from the lagging list and counted as booting. */
    @Test
    void aReturnedMachineIsNotTakenForABootingOne() {
        World w = new World(8);
        SplittableRandom r = w.random.split();
        w.play(3);
        w.submit(job(1, r));
        w.play(200);
        assertEquals(List.of(), w.cloud.up(), "nothing to do, so all machines are returned");
        int deletions = w.cloud.deletionRequests();
        w.play(60);
        assertEquals(deletions, w.cloud.deletionRequests(), "what is gone is returned once");
        assertTrue(deletions > 0 && deletions <= 5, deletions + " deletions");
    }

    /** Found on a day of our own: an outage during which all controllers crash ended every task, for want of answers. */
    @Test
    void tasksOutliveAnOutageInWhichAllControllersCrash() {
        World w = new World(12);
        w.play(3);
        SplittableRandom r = w.random.split();
        for (int i = 0; i < 40; i++) {
            JobSpec spec = job(i, r);
            if (spec.service()) {
                w.submit(spec);
            }
        }
        w.play(30);
        int running = w.starts - w.ended;
        int ended = w.ended;
        assertTrue(running > 3, "too little runs: " + running);
        w.stateDown = true;
        w.play(1);
        w.nodes.values().forEach(n -> restart(w, n, 4000));
        w.play(60); // six leases
        w.stateDown = false;
        w.state.renewAll(w.now);
        w.play(20);
        assertEquals(ended, w.ended, "no task ended");
        assertEquals(running, w.starts - w.ended);
        assertEquals(List.of(), w.violations);
    }

    @Test
    void aLeaderIsFoundSoonAfterACrash() {
        World w = new World(5);
        w.play(10);
        World.Node first = w.leader();
        assertTrue(first != null, "nobody leads");
        first.crash();
        w.play(5);
        World.Node second = w.leader();
        assertTrue(second != null && second != first, "nobody else leads after 5 s");
        assertFalse(first.up());
    }
}
