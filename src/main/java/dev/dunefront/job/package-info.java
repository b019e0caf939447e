/** Job records, what is known of jobs, and the users' interface. */
package dev.dunefront.job;
