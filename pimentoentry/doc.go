/*
Package pimentoentry assembles the parts into the process that runs on each
entry VM.

An Entry takes callers' requests, chooses a target for each, and answers. Its
state is in memory only, and is rebuilt after a start from the platform and
from the other entries.

A request takes one of three ways. An idempotent one is sent by this entry,
with retries and hedges within the budget of its service. A non-idempotent one
is sent once by the holder of its key, which may be another entry. One whose
organisation has other home regions is passed on before its body is read.

Locks are taken in this order, and a goroutine that holds one takes only later
ones:

	service.mu     the targets and waiting requests of one service
	keyring.mu     the ledger of keys and those who wait for an answer
	peers.mu       the members and the journal of news
	quarantine.mu  the requests that crash targets

No lock is held during I/O.
*/
package pimentoentry
