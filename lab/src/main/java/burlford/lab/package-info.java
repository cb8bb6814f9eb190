/**
 * Tools that drive a coordinator from outside: stand-in readers, load, measurements. Knows the coordinator by its jar
 * and its wires alone.
 */
package burlford.lab;
