/*
Package pimentoload decides what becomes of a request when targets are busy: whether it is
sent to the best target found, waits for a better one, or is refused.

A Curve is what an entry has learnt about a service: how much longer requests take at a
target that runs others. Some targets slow down when nearly all of their slots are taken, so
that one more request makes them serve fewer in all. The curve shows from which number on.

Decide weighs the time that a request has left against what its best target offers.

Nothing here does I/O, reads a clock or uses random numbers.
*/
package pimentoload
