/** Time, HTTP calls with deadlines, and the HTTP server; everything here can be faked in tests. */
package dev.dunefront.net;
