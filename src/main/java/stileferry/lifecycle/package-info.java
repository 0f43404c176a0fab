/**
 * From the assignment of a task to the proof that settles it ({@link stileferry.lifecycle.TaskLifecycle}), to the
 * completion or cancellation of its job ({@link stileferry.lifecycle.JobCompletion}); and the events that are stored of
 * that ({@link stileferry.lifecycle.TaskEventReader}).
 */
package stileferry.lifecycle;
