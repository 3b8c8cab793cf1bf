/*
Package pimentoretry decides whether a request may be sent to a target again.

A Budget bounds retries and hedges to a part of a service's requests, so that
failing targets don't cause a storm of retries. A Delay tells after which time
a cheap read is sent to a second target. A Quarantine refuses requests that
have crashed targets.

Nothing here does I/O or reads a clock.
*/
package pimentoretry
