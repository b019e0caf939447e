/** The formats of every published interface; usable by clients of dunefront as well. */
package dev.dunefront.wire;
