/** The command line and the controller process that it starts. */
package dev.dunefront.cli;
