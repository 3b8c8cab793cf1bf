/*
Package pimentoplatform reads what the platform publishes: the configuration
and the lagging list of VMs. It never writes.

The platform's service speaks HTTP with JSON.

	GET /values/NAME             the value, with its revision in the header "Revision"
	GET /values/NAME?after=N     waits until the revision is above N; 304 after a while
	GET /vms                     the list of VMs, with its revision
	GET /vms?after=N             waits likewise

Each waiting watch counts as one read, so an entry keeps two waiting and polls
nothing. After a failure it waits for a time that doubles up to maxDelay, with
jitter, so that all entries together stay far below the service's rate even
when all of them have been started at once.
*/
package pimentoplatform
