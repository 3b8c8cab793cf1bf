/*
Package pimentogate balances requests that carry an ID given by the caller, on a
platform whose store can only be read.

A Gate accepts requests from callers, probes a few near targets for their load,
and sends each request to the best of them on the connection of its probe. All
decisions are based on soft state: the published items, which few gates read and
forward to the others (pimentofeed), the members of the cluster (pimentopeer), and
load reports that are milliseconds old. The platform's balancer, in front of the
gates, distributes callers' connections among those that are ready.

The platform's header names and data formats come in through a Dialect and a
Decode function.

Locks are taken in this order: clusterState.mu, trafficStats.mu, then those of
single connections. None is held during I/O.
*/
package pimentogate
