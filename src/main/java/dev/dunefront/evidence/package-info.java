/**
 * What is to be believed, as pure functions of what was seen: which of a worker's reports says
 * something new ({@link dev.dunefront.evidence.Freshness}), whether a machine that is heard hears
 * ({@link dev.dunefront.evidence.Responsiveness}), and what a controller does that has lost
 * everybody but its workers ({@link dev.dunefront.evidence.Isolation}). No clocks, no network:
 * times come from outside, in seconds of the caller's steady clock.
 */
package dev.dunefront.evidence;
