/**
 * The readers' wire: frames, connections, probes. May use {@code core} and {@code policy}.
 */
package burlford.servers;
