/**
 * Removes records that nothing needs any more, slowly and only while the budget is idle. What may
 * be removed when, and why nothing that comes late is misread then, is in {@code docs/duties.md}.
 */
package dev.dunefront.cleanup;
