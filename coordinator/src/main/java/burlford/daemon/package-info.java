/**
 * One running coordinator: its configuration, its life from start to stop, and what joins the other packages. May
 * use all of them but {@code adapter}; none uses it but the command line.
 */
package burlford.daemon;
