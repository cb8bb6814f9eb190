/**
 * HTTP connections of all fronts, and the platform front. May use {@code core} and {@code policy}.
 */
package burlford.clients;
