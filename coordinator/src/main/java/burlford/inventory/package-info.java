/**
 * Reader lists in the formats of configuration tools, CSV and YAML. May use {@code core} and {@code policy}.
 */
package burlford.inventory;
