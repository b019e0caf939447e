/**
 * Messages and links between controllers: length-prefixed {@code DataOutputStream} records over
 * XNIO.
 */
package dev.dunefront.peer;
