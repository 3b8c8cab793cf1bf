/*
Package pimentopeer keeps the state that a process has about its peers.

A PeerTable serves entries that receive a published list. It merges two sources:
the platform's lagging list of VMs, which has the entries that should run, and
heartbeats, which show the entries that do. Shares and owners are computed from the
list alone, so that entries with the same list agree without exchanging messages.
Reachability is determined by heartbeats alone.

A GossipMembership serves gates, the entries of package pimentogate, for which no list
of entries is published. They exchange records of each other, and detect failed members
of their own domain.

A ChangeLog orders the changes that peers must receive, keeps the newest one of
each subject, and returns those after a cursor. A peer that requests the full state
gets all changes from cursor zero; other heartbeats carry only new ones.

Nothing here does I/O or reads a clock.
*/
package pimentopeer
