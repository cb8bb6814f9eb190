/**
 * Socket handling for the other packages: outbound connections, reading, and listeners that survive failed accepts.
 * Uses no other package of this program.
 */
package burlford.net;
