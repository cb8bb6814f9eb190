/**
 * What the lanes of one process share and how it is dealt out: which lane gets a connection, which lane is fit to
 * serve, leases of what the process has as a whole, ids that are open, probes that are out, what lanes tell each other.
 * {@code Placement} and {@code Supervision} are pure: no I/O, no clock, no threads. {@code Leases} is a row of small
 * steps over {@code AtomicLongs}, which the tests interleave in every order. May use {@code core} and {@code policy}.
 */
package burlford.lanes;
