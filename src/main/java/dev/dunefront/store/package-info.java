/** The state service: its client, the budget of requests, the local replica, this node's lease. */
package dev.dunefront.store;
