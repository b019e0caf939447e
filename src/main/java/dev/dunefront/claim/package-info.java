/** Claimed jobs: their wants, placements and ends, and the teams' quotas. */
package dev.dunefront.claim;
