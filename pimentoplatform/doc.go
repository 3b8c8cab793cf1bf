/*
Package pimentoplatform reads what the platform publishes: the configuration
and the lagging list of VMs. It never writes.

The platform's service speaks HTTP with JSON.

	GET /values/NAME             the value, with its revision in the header "Revision"
	GET /values/NAME?after=N     waits until the revision is above N; 304 after a while
	GET /vms                     the list of VMs, with its revision
	GET /vms?after=N             waits likewise

Each waiting watch counts as one read, so an entry keeps two waiting and polls
nothing. It begins after a random time, and pauses after each read, so that 300
entries together stay below a tenth of the service's 2,000 reads/s, also when
all start at once, when a change wakes all of them, and while the service fails.

Services of another form are a Source, two functions that read and watch. Follow
reads a Source while it is asked to, with its own pauses.
*/
package pimentoplatform
