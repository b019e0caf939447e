/**
 * Machines held by this controller: their reports, their want books, the offers of their room and
 * the commands sent to their workers.
 */
package dev.dunefront.book;
