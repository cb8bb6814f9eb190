/**
 * The replicated store: its log, its members' wire, and the operators' door to it. May use {@code clients} and
 * {@code core}.
 */
package burlford.store;
