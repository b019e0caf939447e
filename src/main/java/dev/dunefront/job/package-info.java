/**
 * Job records, the local table of jobs, and the API through which users submit, poll and cancel.
 */
package dev.dunefront.job;
