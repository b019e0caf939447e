/**
 * Load runs: real controllers in processes of their own against stand-ins on loopback, with hollow
 * workers that share one process. Main programs, started by hand; no test uses them.
 */
package dev.dunefront.load;
