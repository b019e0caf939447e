/** Clock and timers, HTTP calls with deadlines, and the HTTP server; tests can replace them all. */
package dev.dunefront.net;
