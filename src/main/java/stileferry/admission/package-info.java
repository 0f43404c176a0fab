/**
 * Admission control under overload: demand estimation, weighted fair shares, rate limits and the count of admissions.
 * The package does no I/O and uses no threads or clock: callers pass in the time and events and get decisions. It can
 * be embedded in other programs (docs/admission.md).
 *
 * <p>The leader decides with an {@link stileferry.admission.AdmissionController}. Every controller has a
 * {@link stileferry.admission.LoadShedder} with the leader's last {@link stileferry.admission.AdmissionWindowTable}. A
 * load shedder can reject a request; it never admits one.
 */
package stileferry.admission;
