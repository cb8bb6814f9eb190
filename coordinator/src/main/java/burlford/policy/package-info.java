/**
 * The decision module: which reader gets a part, when it is tried again, what is turned away. Owns {@code Decide}
 * and its interface {@code Aggregator}; {@code Dispatcher} is the module behind plain calls. Uses nothing but
 * java.util: no I/O, no clock, no threads. {@code StartTimes} reckons when servers started.
 */
package burlford.policy;
