/**
 * The open queries between the clients' fronts and the readers, with timers and counters. Independent of wire
 * protocols and fronts, which are attached through the interfaces of this package. May use only {@code policy}.
 */
package burlford.core;
