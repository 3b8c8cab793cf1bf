/*
Package pimentoretry decides whether a request may be sent to a target again.

A Budget bounds retries and hedges to a fraction of a service's requests, so that
failing targets don't cause a retry storm. It is used by pimentoentry, and limits each
entry on its own. An Allowance, used by pimentogate, is one entry's share of such a
limit for all entries together. A HedgeDelay estimates the time after which a cheap
read is also sent to a second target. A Quarantine refuses requests that have crashed
targets.

The package does no I/O and reads no clock.
*/
package pimentoretry
