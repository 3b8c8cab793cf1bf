/*
Package pimentohttp sends HTTP/1.1 requests to targets, and detects callers that
disconnect.

A Client writes each request at most once, on a connection that nothing else uses
at the time, and leaves retries to its user. Package fasthttp encodes requests and
parses the heads of responses. It is lenient, so they are checked before: a response
that isn't valid HTTP/1 is an error of KindInvalid. This package manages the
connections itself, so that an Exchange can be cancelled by closing its connection,
and a connection whose exchange failed is never reused.

After an error, Exchange.Sent reports whether any byte of the request may have been
sent. If none was, the target has not executed it.

A connection can be acquired for several exchanges in a row, such as a probe and the
request that depends on its result.

A ConnWatcher detects callers that close their connections while their requests are
served.
*/
package pimentohttp
