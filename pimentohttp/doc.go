/*
Package pimentohttp exchanges HTTP/1.1 with targets, and watches callers.

A Client writes each request exactly once, on a connection that nothing else
uses at the time, and leaves retries to its user. The codec is fasthttp's; the
connections are this package's, so that an Exchange can be cancelled by closing
its connection, and a connection whose exchange failed is never used again.

The outcome of an exchange says how far it came. Unsent means that no byte of
the request was written, so that the target did not run it.

A connection can be taken for several exchanges in a row, such as a question and
the request that follows from its answer.

A Watch finds callers that have closed their connections while they wait.
*/
package pimentohttp
