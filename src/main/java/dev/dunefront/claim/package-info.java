/**
 * The jobs that this controller has claimed: queueing their wants, recording where tasks are placed
 * and how attempts end, and accounting for the teams' quotas.
 */
package dev.dunefront.claim;
