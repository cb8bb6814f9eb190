/**
 * Sockets as every package opens them: outbound connections, and listeners that survive failed system calls. Uses no
 * other package.
 */
package burlford.net;
