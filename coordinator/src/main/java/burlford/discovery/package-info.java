/**
 * The list of readers from the platform's discovery: fetch and watch. May use {@code core} and {@code policy}.
 */
package burlford.discovery;
