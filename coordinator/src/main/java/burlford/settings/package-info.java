/**
 * The settings text that the daemon and the simulator's adapter both read, turned into the module's types. May use
 * {@code policy} alone.
 */
package burlford.settings;
