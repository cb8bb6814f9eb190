/**
 * The decision module: which reader gets a part, when it is tried again, what is turned away. Owns {@code Decide}
 * and its interface {@code Aggregator}; {@code Dispatcher} is the module behind plain calls. Uses nothing but
 * java.util: no I/O, no clock, no threads. The text of {@code Decide} has a limit of its own, kept by SizeTest.
 */
package burlford.policy;
