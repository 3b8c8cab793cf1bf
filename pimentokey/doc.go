/*
Package pimentokey provides at-most-once execution of non-idempotent requests
without consensus, clocks or shared storage.

An idempotency key names the process incarnation that issued it. Only that
process, or the successor that has adopted its key range, may dispatch the request
that carries the key, and it does so once. Network partitions, stale peer lists and
stalled processes can't cause a second execution, because no other process ever
dispatches the request.

A Ledger holds the key ranges of one process. Issue returns new keys, Begin
decides how to handle a request that carries one, and Resolve records the
outcome of its dispatch. A Ledger does no I/O and reads no clock.

In a planned stop, a process calls Stop, after which it dispatches nothing under
a key again, and then Export, whose result is adopted by one successor. Dispatches
still in progress are resolved at the successor by ResolveRemote. Since Stop is
final, a lost acknowledgement of the adoption is harmless: the ranges are then held
either by nobody or by the successor, but never by two processes.

A Directory records which process currently holds which range.

A process that can't reach the holder of a key reports the outcome as unknown.
Only the holder can report that a request was not executed.
*/
package pimentokey
