/**
 * Load and soak runs: real controller processes against stand-ins on loopback, with simulated
 * workers that share one process. The main programs are started by hand; the build ends with a
 * short soak run.
 */
package dev.dunefront.load;
