/**
 * Open queries between whoever asks and the readers, what is due when, and counts. Knows no wire and no front: those
 * come in through its interfaces. May use {@code policy} alone.
 */
package burlford.core;
