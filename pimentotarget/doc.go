/*
Package pimentotarget chooses the target of each request.

A Table holds what one entry knows of one service: its targets, their phases,
its own outstanding requests, and the requests that wait. It does no I/O, reads
no clock and draws no random number, so equal calls give equal choices.

Every limit of a target is split into shares over the entries of the target's
region by Deal, a pure function of the published list of entries. An entry that
keeps to its shares needs no message to keep the limit of the fleet.

A choice is the target with the least expected delay: distance, the price of
exceeding the own share, the age of the oldest outstanding request, and the
latency that the target showed against the others. A request for which every
choice costs more than waiting stays in the queue of its class, so that it is
bound to a target as late as possible.

A target that has just started is cold. Only its owner, the entry that Owner
names, sends to it, and no more than the service's cold limit. The owner
announces by a Mark that the target is warm. Marks of all entries are merged by
taking the greater one, so they converge in whatever order they arrive.

Use: call Offer for each request, then Next until it returns nil; each request
that Next returns goes to its Target. When its exchange ends, call Done and then
Next again.
*/
package pimentotarget
