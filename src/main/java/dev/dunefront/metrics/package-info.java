/** Counts and latencies that an operator can read at {@code /metrics}. */
package dev.dunefront.metrics;
