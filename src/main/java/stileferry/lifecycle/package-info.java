/**
 * The lifecycle of tasks from their assignment to the proof that settles it ({@link
 * stileferry.lifecycle.TaskLifecycle}), the completion and cancellation of jobs ({@link
 * stileferry.lifecycle.JobCompletion}), and the stored events of both ({@link stileferry.lifecycle.TaskEventReader}).
 */
package stileferry.lifecycle;
