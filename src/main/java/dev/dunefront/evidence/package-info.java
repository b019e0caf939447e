/**
 * Decisions based on observed messages, as pure functions: which of a worker's reports carry new
 * information ({@link dev.dunefront.evidence.Freshness}), whether a machine that sends reports also
 * receives messages ({@link dev.dunefront.evidence.Responsiveness}), what a controller does that
 * can reach nothing but its workers ({@link dev.dunefront.evidence.Isolation}), whether a machine
 * is faulty ({@link dev.dunefront.evidence.Blame}), and what proves that an attempt has ended
 * ({@link dev.dunefront.evidence.EndProof}). There is no clock and no network access here; callers
 * pass times in seconds of a monotonic clock.
 */
package dev.dunefront.evidence;
