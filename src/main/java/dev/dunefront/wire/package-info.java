/** Message formats of the published interfaces. Clients of dunefront can use this package too. */
package dev.dunefront.wire;
