/**
 * What runs where. A {@link stileferry.scheduling.SchedulingPass} starts what fits ({@link
 * stileferry.scheduling.Placement}: the queue's order, constraints, selection of machines, gangs), preempts other work
 * for what does not, and drains machines that are not needed.
 */
package stileferry.scheduling;
