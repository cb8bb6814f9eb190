/**
 * State that the lanes of one process share and the rules for dividing it: which lane gets a new connection, whether a
 * lane is fit to serve, leases of process-wide limits, the ids of open queries, the probes in flight, and the updates
 * that lanes send each other. {@code Placement} and {@code Supervision} are pure: no I/O, no clock, no threads.
 * {@code Leases} consists of single atomic steps on {@code AtomicLongs}, which the tests run in every interleaving. The
 * package may use {@code core} and {@code policy}.
 */
package burlford.lanes;
