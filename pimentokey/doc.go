/*
Package pimentokey makes non-idempotent requests run at most once, without
agreement, clocks or shared storage.

An idempotency key names the process incarnation that has issued it. Only that
process may dispatch the request that carries the key, and it does so once.
Neither a partition, nor a stale list of peers, nor a paused process can cause
a second run, because no other process ever dispatches it.

A Ledger holds the key ranges of one process. Issue hands out keys, Begin
decides what to do with a request that carries one, and Settle records how its
dispatch ended. A Ledger does no I/O and reads no clock.

A process that is stopped on purpose calls Stop, after which it dispatches
nothing under a key again, and Export, whose result one successor adopts. The
dispatches that still run are settled at the successor by Learn. Since Stop is
final, a lost acknowledgement does no harm: the ranges are then held by
nobody, or by the successor, but never by two processes.

A Directory remembers which process holds which range now.

A process that can't reach the holder of a key says that the outcome is
unknown. Only the holder can say that a request was not run.
*/
package pimentokey
