/**
 * The replicated store: its log file, the transport between its members, and the operators' HTTP front. May use
 * {@code clients} and {@code core}.
 */
package burlford.store;
