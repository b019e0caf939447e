/** Counters, gauges and latencies, exported at {@code /metrics}. */
package dev.dunefront.metrics;
