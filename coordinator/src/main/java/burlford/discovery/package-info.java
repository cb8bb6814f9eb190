/**
 * Fetches and follows the reader list of the platform's discovery. May use {@code core}, {@code net} and
 * {@code policy}.
 */
package burlford.discovery;
