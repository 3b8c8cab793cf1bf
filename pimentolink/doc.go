/*
Package pimentolink connects entries with each other.

A Node listens for peers and dials them. Two connections lead to each peer, one
for control and one for forwarded requests, so that no amount of forwarded data
delays a heartbeat. Each is a yamux session over TCP, and each exchange has a
stream of its own, which begins with one byte that names its kind.

	heartbeat  one message each way, again and again on one stream
	forward    one request and its answer
	fetch      the configuration in force
	handover   key ranges for a successor, and its acknowledgement
	note       messages of the user's, each with an answer
	learn      the outcome of a dispatch under a handed over key

Messages are protobuf, each behind its length. The head of a forwarded request
or answer is in HTTP/1.1 form within its message. Bodies follow in chunks with
an explicit end, so that a broken connection never looks like a short body.

A request that was written to a peer whose session then breaks is reported as
KindBroken: it may have arrived. KindUnreachable says that it did not.
*/
package pimentolink
