/*
Package pimentoquota decides how many requests of each organisation an entry lets run, so
that all entries together keep the organisation's rate and burst, without a leader, a store
or shared state.

Permission is made of tokens, one a run. Each entry of a fleet of n mints the n-th part of
the rate, and a token lives for the time that Bounds.Life states. Tokens move between
entries in messages, and are lost with them, but are made nowhere else. In a window of
length w at most rate x (w + life) tokens can therefore be spent, whoever hears whom.

Entries hand what they don't need to the hub of their domain, and hubs to one hub of the
fleet. Those that need more ask there. The choice of the hub affects how well tokens reach
those who need them, and never their number.

The package has no I/O and reads no clock. Times are counted from the entry's start and
include times in which the machine was suspended.
*/
package pimentoquota
