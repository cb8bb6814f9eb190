/**
 * The decision module: which reader gets a part, when a part is sent again, which queries are refused. {@code Decide}
 * makes the decisions, {@code Aggregator} is its interface, {@code Dispatcher} offers it as method calls, 
 * {@code SendCheck} checks an attempt again right before it is sent, {@code StartTimes} converts the start times of
 * servers to the own clock. Uses java.util only: no I/O, no clock, no threads.
 */
package burlford.policy;
