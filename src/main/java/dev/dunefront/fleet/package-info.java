/** Catalog of machine types; renting, health and returning of machines. */
package dev.dunefront.fleet;
