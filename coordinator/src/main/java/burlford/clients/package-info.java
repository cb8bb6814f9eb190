/**
 * HTTP connections of all fronts, and the platform front. May use {@code core}, {@code net} and
 * {@code policy}.
 */
package burlford.clients;
