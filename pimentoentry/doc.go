/*
Package pimentoentry implements the entry, the load balancer process that runs
on each entry VM.

An Entry accepts callers' requests, chooses a target for each, and returns the
target's response. Its state is in memory only; after a start it is rebuilt from
the platform and from the other entries.

A request is handled in one of three ways:

  - An idempotent request is sent by this entry, with retries and hedges within
    the budget of its service.
  - A non-idempotent request is executed at most once. Only the holder of its key,
    which may be another entry, dispatches it.
  - A request whose organisation has other home regions is forwarded to an entry
    there before its body is read.

Locks are acquired in this order; a goroutine that holds one acquires only later
ones:

	service.mu     the targets and waiting requests of one service
	keyring.mu     the ledger of keys and the waiters for unresolved keys
	peers.mu       the membership and the change log
	quarantine.mu  the requests that crash targets

No lock is held during I/O.
*/
package pimentoentry
