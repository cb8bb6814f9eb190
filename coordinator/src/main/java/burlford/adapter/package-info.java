/**
 * The simulator's wire on standard input and output, and the module instances behind it. May use {@code settings}
 * and {@code policy}; the daemon does not use it.
 */
package burlford.adapter;
