/*
Package pimentocaller sends requests through pimentoarch.

A Client keeps a stock of idempotency keys for each service. It gives each
non-idempotent request one key, and resends the request with the same key until
it has an answer, a refusal that says that the request was not run, or no time
left. Idempotent requests are resent as they are.

An Answer says whether the request was run, also when it was refused.
*/
package pimentocaller
