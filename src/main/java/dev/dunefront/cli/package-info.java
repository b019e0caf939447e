/** The command line and the daemon that it starts. */
package dev.dunefront.cli;
