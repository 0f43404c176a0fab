package stileferry.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import stileferry.cluster.Job;
import stileferry.protocol.JobSpec;
import stileferry.protocol.JobSpecBuilder;
import stileferry.protocol.KeyValueStoreProtocol.CommitRequest;
import stileferry.protocol.MessageCodec;
import stileferry.transport.ApiClient;

/**
 * Fills the stand-in key-value store with the state that a leader has written for machines full of small tasks: one
 * record for each live job, and a ring of event records, each as large as a leader may make it.
 */
final class FullStore {
    private static final int RING_RECORDS = 1024;
    private static final double RECORD_SHARE_OF_VALUE_LIMIT = 0.9;
    private static final int RECORD_OVERHEAD_BYTES = 80;
    private static final int EVENT_OVERHEAD_BYTES = 48;
    private static final int TASKS_PER_JOB = 40;
    private static final int JOBS_PER_TRANSACTION = 10;
    private static final int RECORDS_PER_TRANSACTION = 3;
    private static final int FIRST_RECORD_NUMBER = 100_000;

    private final ApiClient store;
    private final int maxRecordBytes;
    private CommitRequest transaction = new CommitRequest();

    /**
     * Creates a writer.
     *
     * @param address the address of the stand-in key-value store
     * @param valueKb the store's limit on the size of a value
     */
    FullStore(String address, double valueKb) throws Exception {
        this.store = new ApiClient(List.of(address));
        this.maxRecordBytes = (int) (valueKb * 1024 * RECORD_SHARE_OF_VALUE_LIMIT);
    }

    /** Writes jobs with this many tasks in all, each assigned to a machine; returns the ids of the jobs. */
    List<String> write(int machines, int tasksPerMachine) throws Exception {
        int tasks = machines * tasksPerMachine;
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < tasks / TASKS_PER_JOB; i++) {
            jobs.add(jobId(i));
            Job job = new Job(spec(jobs.get(i)), i, System.currentTimeMillis(), 0);
            put(Job.key(jobs.get(i)), job.entry().value(), JOBS_PER_TRANSACTION);
        }
        commit();
        int assignmentsPerRecord = (tasks + RING_RECORDS - 1) / RING_RECORDS;
        for (int record = 0; record < RING_RECORDS; record++) {
            int number = FIRST_RECORD_NUMBER + record;
            int first = record * assignmentsPerRecord;
            int end = Math.min(tasks, first + assignmentsPerRecord);
            put("l/" + number % RING_RECORDS, record(number, jobs, first, end, machines), RECORDS_PER_TRANSACTION);
        }
        commit();
        store.close();
        return jobs;
    }

    static String machineName(int machine) {
        return "host-%06d".formatted(machine);
    }

    /** Returns the ids of the tasks that are assigned to a machine. */
    static List<String> tasksOf(int machine, int machines, int tasksPerMachine) {
        List<String> tasks = new ArrayList<>();
        for (int task = machine; task < machines * tasksPerMachine; task += machines) {
            tasks.add(jobId(task / TASKS_PER_JOB) + "/" + task % TASKS_PER_JOB);
        }
        return tasks;
    }

    private static String jobId(int number) {
        return "job-" + (100_000 + number);
    }

    private static JobSpec spec(String id) {
        return JobSpecBuilder.of(JobSpec.Kind.ARRAY, id)
                .team("blue")
                .tasks(2 * TASKS_PER_JOB)
                .cpus(1)
                .imageGb(0.1)
                .allowsSpot(true)
                .runS(600)
                .build();
    }

    /** Returns a record with the assignments of some tasks, filled up with completed tasks of the same jobs. */
    private ObjectNode record(int number, List<String> jobs, int firstTask, int endTask, int machines) {
        ObjectNode record = MessageCodec.map().put("n", number);
        ArrayNode events = record.putArray("e");
        int bytes = RECORD_OVERHEAD_BYTES;
        for (int task = firstTask; task < endTask; task++) {
            String job = jobs.get(task / TASKS_PER_JOB);
            String machine = machineName(task % machines);
            events.addArray()
                    .add(0)
                    .add(job)
                    .add(task % TASKS_PER_JOB)
                    .add(1)
                    .add(machine)
                    .add(1);
            bytes += EVENT_OVERHEAD_BYTES + job.length() + machine.length();
        }
        for (int i = 0; bytes + EVENT_OVERHEAD_BYTES + jobs.get(0).length() <= maxRecordBytes; i++) {
            String job = jobs.get((number * 37 + i) % jobs.size());
            int index = TASKS_PER_JOB + (number + i) % TASKS_PER_JOB;
            events.addArray().add(2).add(job).add(index).add(index);
            bytes += EVENT_OVERHEAD_BYTES + job.length();
        }
        return record;
    }

    private void put(String key, ObjectNode value, int changesPerTransaction) throws InterruptedException {
        transaction.put(key, value);
        if (transaction.changes() == changesPerTransaction) {
            commit();
        }
    }

    private void commit() throws InterruptedException {
        ApiClient.Response response = store.sendOnce("POST", "/commit", MessageCodec.encode(transaction.body()));
        if (response.status() != 200) {
            throw new IllegalStateException("the store answered " + response.status() + ": " + response.body());
        }
        transaction = new CommitRequest();
    }
}
