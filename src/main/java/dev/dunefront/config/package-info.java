/** Loads and validates the platform's settings file and the operator's tunables. */
package dev.dunefront.config;
