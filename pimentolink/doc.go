/*
Package pimentolink connects entries with each other, and likewise gates.

A Node listens for peers and dials them. It keeps two connections to each peer,
one for control and one for forwarded requests, so that forwarded data cannot
delay a heartbeat. Each connection is a yamux session over TCP. Each exchange
has its own stream, whose first byte names its kind.

	heartbeat    one message each way, repeatedly on one stream
	forward      one request and its response
	fetch        the active configuration
	handover     key ranges for a successor, and its acknowledgement
	sync         messages between gates, opaque to this package, each with a reply
	key outcome  the outcome of a dispatch under a handed-over key

Messages are protobuf with a length prefix. The head of a forwarded request or
response is in HTTP/1.1 form within its message. Bodies follow in chunks with an
explicit end, so that a lost connection is never taken for a short body.

If the connection is lost after a request was written to a peer, the error has
KindConnectionLost: the request may have arrived. KindUnreachable means that no
part of it was sent.
*/
package pimentolink
