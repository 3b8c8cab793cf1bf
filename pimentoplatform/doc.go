/*
Package pimentoplatform reads what the platform publishes: the configuration and the
list of VMs, which lags behind the actual state. It never writes.

The platform's service speaks HTTP with JSON.

	GET /values/NAME             the value, with its revision in the header "Revision"
	GET /values/NAME?after=N     waits until the revision is above N; 304 after a while
	GET /vms                     the list of VMs, with its revision
	GET /vms?after=N             waits likewise

Each waiting read (a watch) counts as one read, so an entry keeps two of them waiting
and doesn't poll. The first read of each begins after a random time, and a pause
follows each read, so that 300 entries together stay below 200 reads/s, a tenth of the
service's 2,000 reads/s. That also holds when all entries start at once, when a change
completes all waiting reads, and while the service fails.

A Watcher reads this service for an entry. A service with another interface, such as the
store that package platform reads, is a Source: two functions that read and watch. A
Follower reads a Source for a gate while its ShouldRead returns true, with its own
pauses.
*/
package pimentoplatform
