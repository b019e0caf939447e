/**
 * Duties that only one controller may do: who has each, under which term, and how acts for it are
 * fenced against a holder that was replaced. See {@code docs/duties.md}.
 */
package dev.dunefront.duty;
