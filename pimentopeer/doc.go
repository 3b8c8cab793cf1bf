/*
Package pimentopeer keeps what an entry knows of the other entries.

Members merges two sources: the platform's lagging list of VMs, which says who
should be there, and heartbeats, which say who is. Shares and owners are
computed from the list alone, so that entries with the same list agree without
a message. Reachability is judged by heartbeats alone.

A Journal orders the changes that peers need to hear, keeps the newest one for
each subject, and returns those after a cursor. A peer that has heard nothing
gets the whole state from cursor zero; later heartbeats carry changes only.

Nothing here does I/O or reads a clock.
*/
package pimentopeer
