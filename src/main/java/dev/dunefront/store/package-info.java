/** Client of the state service: rate limits, the local replica, membership and leases. */
package dev.dunefront.store;
