/*
Package pimentotarget selects the target of each request.

A Table holds one entry's state of one service: the targets and their phases,
the entry's own outstanding requests, and the queue of waiting requests. It does
no I/O, reads no clock and uses no random numbers, so equal calls give equal
results.

SlotShares splits the slots of each target into shares for the entries of the
target's region. It is a pure function of the published list of entries: entries
that stay within their shares keep the total limit without exchanging messages.

Next selects the target with the lowest expected delay, which is the sum of the
network round trip, the cost of exceeding the entry's share, the age of the oldest
outstanding request above three times the average latency, and the excess of the
target's latency over the average, less a bonus for cold targets. A request for which
every target costs more than waiting stays in the queue, so that it is bound to a
target as late as possible.

A target that has just started is cold. Only its owner, the entry that Owner
returns, sends requests to it, and no more than the service's cold limit. The
owner publishes a VersionedPhase when the target is warm. Entries merge versioned
phases by keeping the greater one, so they converge in any order of arrival.

A gate, which is an entry of package pimentogate, uses no Table, and cold targets have
no owner there. The gates of a target's failure domain each send it, while it is cold,
at most a fixed share of a limit in requests a second, see ColdLimiter.

Usage: call Offer for each request, then Next until it returns nil, and send each
request that Next returns to its Target. When the exchange ends, call Done and
then Next again.
*/
package pimentotarget
