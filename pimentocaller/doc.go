/*
Package pimentocaller sends requests through pimentoarch.

A Client keeps a pool of idempotency keys for each service. It gives each
non-idempotent request one key, and resends the request with the same key until
it has a response, a refusal that says that the request was not executed, or no
time left. Idempotent requests are resent as they are.

A Response says whether the request was executed, also when it was refused.
*/
package pimentocaller
