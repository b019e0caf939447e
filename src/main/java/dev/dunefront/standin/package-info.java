/**
 * In-memory fakes of the external systems (cloud, state service, workers), written from the
 * published protocol. The build runs controllers against them to record the class archive, and the
 * scenario tests use them.
 */
package dev.dunefront.standin;
