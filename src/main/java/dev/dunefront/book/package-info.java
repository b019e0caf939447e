/** Held machines: their reports, their want-books, dealing, and the orders sent to them. */
package dev.dunefront.book;
