/**
 * Load runs: real controllers in processes of their own against stand-ins on loopback, with hollow
 * workers that share one process. Main programs, started by hand; the build ends with a short soak
 * run.
 */
package dev.dunefront.load;
