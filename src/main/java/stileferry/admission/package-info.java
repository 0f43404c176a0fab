/**
 * Admission control under overload: demand estimation, weighted fair shares, rate limits and the count of admissions.
 * Pure: time and events go in, decisions come out; no I/O, no threads, no clock. Embeddable in other programs
 * (docs/admission.md).
 *
 * <p>One controller, the leader, decides with an {@link stileferry.admission.AdmissionController}. All controllers hold
 * a {@link stileferry.admission.LoadShedder} with the leader's last
 * {@link stileferry.admission.AdmissionWindowTable}. A load shedder can refuse a request; it never admits one.
 */
package stileferry.admission;
