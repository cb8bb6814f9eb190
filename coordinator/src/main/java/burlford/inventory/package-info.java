/**
 * Lists of readers as configuration tools keep them, CSV and YAML. May use {@code core} and {@code policy}.
 */
package burlford.inventory;
