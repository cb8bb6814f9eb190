/**
 * Parser of the settings text that the daemon and the simulator's adapter both use. Produces the settings types
 * of the decision module. May use {@code policy} alone.
 */
package burlford.settings;
