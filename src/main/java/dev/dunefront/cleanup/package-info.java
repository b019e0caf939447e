/**
 * Removes obsolete records, slowly and only while the write budget is idle, and maintains the
 * roster of controllers. {@code docs/duties.md} describes when a record may be removed, and why
 * late messages are not misinterpreted afterwards.
 */
package dev.dunefront.cleanup;
