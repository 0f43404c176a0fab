package stileferry.cli;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks from outside what users were told about their jobs: no answer may be older than one given before it was asked
 * for, at any controller. Times are milliseconds on the steady clock.
 */
final class AnswerChecker {
    private final Map<String, JobRecord> jobs = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    /** What users know about one job. */
    static final class JobRecord {
        final String id;
        final int tasks;
        final double cpusPerTask;
        final boolean service;

        /** When the first answer arrived that the job is accepted, cancelled or done; {@link Long#MAX_VALUE}: none. */
        long acceptedAt = Long.MAX_VALUE;

        long cancelRequestedAt = Long.MAX_VALUE;
        long cancelledAt = Long.MAX_VALUE;
        long doneAt = Long.MAX_VALUE;
        long lastAnsweredAt;

        JobRecord(String id, int tasks, double cpusPerTask, boolean service) {
            this.id = id;
            this.tasks = tasks;
            this.cpusPerTask = cpusPerTask;
            this.service = service;
        }

        boolean accepted() {
            return acceptedAt != Long.MAX_VALUE;
        }

        boolean cancelRequested() {
            return cancelRequestedAt != Long.MAX_VALUE;
        }

        boolean ended() {
            return cancelledAt != Long.MAX_VALUE || doneAt != Long.MAX_VALUE;
        }
    }

    /** What kind of request was answered. */
    enum Request {
        SUBMIT,
        STATUS,
        CANCEL
    }

    /**
     * One answer.
     *
     * @param state the state of the job that it names, or an empty string if it names none
     */
    record Answer(Request request, int controller, long askedAt, long answeredAt, int status, String state) {}

    synchronized JobRecord add(String id, int tasks, double cpusPerTask, boolean service) {
        JobRecord job = new JobRecord(id, tasks, cpusPerTask, service);
        jobs.put(id, job);
        return job;
    }

    synchronized void cancelRequested(JobRecord job, long now) {
        job.cancelRequestedAt = Math.min(job.cancelRequestedAt, now);
    }

    /** Checks an answer against all that had arrived before it was asked for. */
    synchronized void check(JobRecord job, Answer answer) {
        if (answer.status == 200 || answer.status == 201) {
            checkState(job, answer);
            record(job, answer);
        } else if (answer.status == 404 && job.acceptedAt < answer.askedAt) {
            violate("forgotten", job, answer);
        } else if ((answer.status == 400 || answer.status == 422) && job.acceptedAt < answer.askedAt) {
            violate("rejected though accepted", job, answer);
        }
    }

    private void checkState(JobRecord job, Answer answer) {
        boolean saysDone = answer.state.equals("done");
        boolean saysCancelled = answer.state.equals("cancelled");
        if (job.doneAt < answer.askedAt && !saysDone || job.cancelledAt < answer.askedAt && !saysCancelled) {
            violate("went back", job, answer);
        }
        if (saysCancelled && !job.cancelRequested()) {
            violate("cancelled by nobody", job, answer);
        }
    }

    private static void record(JobRecord job, Answer answer) {
        job.lastAnsweredAt = Math.max(job.lastAnsweredAt, answer.answeredAt);
        job.acceptedAt = Math.min(job.acceptedAt, answer.answeredAt);
        if (answer.state.equals("done")) {
            job.doneAt = Math.min(job.doneAt, answer.answeredAt);
        } else if (answer.state.equals("cancelled")) {
            job.cancelledAt = Math.min(job.cancelledAt, answer.answeredAt);
        }
    }

    /** Records an answer about a job that nobody has submitted. */
    synchronized void checkUnknownJob(String id, int status) {
        if (status == 200) {
            violations.add("invented: " + id);
        }
    }

    private void violate(String rule, JobRecord job, Answer answer) {
        violations.add(rule + ": " + job.id + " " + answer + " accepted at " + job.acceptedAt + " cancelled at "
                + job.cancelledAt + " done at " + job.doneAt);
    }

    synchronized Collection<JobRecord> jobs() {
        return List.copyOf(jobs.values());
    }

    /** Returns the violations of all answers, and of what ran against what users had been told. */
    synchronized List<String> findViolations(TaskHistory history, long cancelDeadlineMs) {
        List<String> all = new ArrayList<>(violations);
        Map<String, List<TaskHistory.Entry>> entriesByJob = new HashMap<>();
        for (TaskHistory.Entry entry : history.entries()) {
            String job = entry.task().substring(0, entry.task().indexOf('/'));
            entriesByJob.computeIfAbsent(job, any -> new ArrayList<>()).add(entry);
        }
        for (JobRecord job : jobs.values()) {
            List<TaskHistory.Entry> entries = entriesByJob.getOrDefault(job.id, List.of());
            if (job.cancelledAt != Long.MAX_VALUE) {
                checkCancelled(job, entries, job.cancelledAt + cancelDeadlineMs, all);
            }
            if (job.doneAt != Long.MAX_VALUE) {
                checkDone(job, entries, all);
            }
        }
        return all;
    }

    private static void checkCancelled(
            JobRecord job, List<TaskHistory.Entry> entries, long deadline, List<String> violations) {
        Map<String, Long> running = new HashMap<>();
        for (TaskHistory.Entry entry : entries) {
            if (entry.start()) {
                running.put(entry.task() + "@" + entry.machine(), entry.atMs());
            } else {
                running.remove(entry.task() + "@" + entry.machine());
            }
            if (entry.atMs() > deadline) {
                violations.add("ran cancelled: " + entry + " after " + deadline);
            }
        }
        if (!running.isEmpty() && TaskHistory.now() > deadline) {
            violations.add("runs cancelled: " + running + " after " + deadline + " of " + job.id);
        }
    }

    private static void checkDone(JobRecord job, List<TaskHistory.Entry> entries, List<String> violations) {
        long ended = entries.stream()
                .filter(entry -> !entry.start() && entry.atMs() <= job.doneAt)
                .map(TaskHistory.Entry::task)
                .distinct()
                .count();
        if (ended < job.tasks) {
            violations.add("not done: " + job.id + " has " + ended + " of " + job.tasks + " tasks ended");
        }
    }
}
