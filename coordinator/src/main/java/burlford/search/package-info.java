/**
 * The OpenSearch-style front. May use {@code clients}, {@code core} and {@code policy}.
 */
package burlford.search;
