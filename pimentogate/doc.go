/*
Package pimentogate balances requests that carry an ID given by the caller, on a
platform whose store can only be read.

A Gate is the entry of such a platform, and comments call it an entry, as in the
other packages. It accepts requests from callers, probes a few near targets for
their load, and sends each request to the best of them on the connection of its
probe. All decisions are based on soft state: the items that the platform publishes
(configuration, targets, failure domains out of service), which few entries read and
forward to the others (pimentofeed), the members of the cluster (pimentopeer), and
load reports that are milliseconds old. The platform's balancer, in front of the
entries, distributes callers' connections among those that are ready.

A response below 500 that isn't a success is a verdict on its request: whoever gets it doesn't
send the request again. Each verdict needs proof: the target's signature, bytes of the request
that were read, or a configuration that is known to be in force (see proof.go).

A request that home regions bind goes by the newest configuration that the entry knows, at
each decision until it is written (see homes.go), and only while that configuration is known
to be recent enough (see homeproof.go).

The platform's header names and data formats come in through a Dialect and a
Decode function.

Locks are taken in this order: clusterState.mu, trafficStats.mu, then any other.
None is held while waiting for the network.
*/
package pimentogate
