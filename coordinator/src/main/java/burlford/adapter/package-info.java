/**
 * Runs the decision module for the simulator, which exchanges frames with this program over standard input and output.
 * May use {@code settings} and {@code policy}; the daemon does not use it.
 */
package burlford.adapter;
