/**
 * Cluster-wide duties that one controller performs at a time: election of the holder, its term, and
 * fencing of operations by a replaced holder. See {@code docs/duties.md}.
 */
package dev.dunefront.duty;
