/**
 * The readers' wire: frames, connections, probes. May use {@code core}, {@code net} and {@code policy}.
 */
package burlford.servers;
