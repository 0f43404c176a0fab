/**
 * The scheduler. A {@link stileferry.scheduling.SchedulingPass} starts the tasks that fit ({@link
 * stileferry.scheduling.Placement}: queue order, placement constraints, machine selection, gangs), preempts other tasks
 * for those that do not fit, and drains machines that are not needed.
 */
package stileferry.scheduling;
