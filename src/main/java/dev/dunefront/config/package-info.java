/** The platform's settings file and the operator's own tunables, read and checked. */
package dev.dunefront.config;
