/**
 * Stand-ins for the outside systems, made from the published protocol. The build rehearses a start
 * against them, and the tests tell their stories with them; they keep everything in memory.
 */
package dev.dunefront.standin;
