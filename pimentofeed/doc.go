/*
Package pimentofeed holds a copy of the items that the platform publishes, and
computes the changes that another copy lacks.

A State holds items by key. Each item has the revision of its last change, and of
two items with the same key the one with the higher revision always wins, removals
included. A state is complete up to its revision AsOf, so that an older state needs
only the later changes. A limited number of removals is kept; a state that may lack
removals which are no longer kept gets all items.

The age of a state is the time since an entry that reads the platform confirmed
that the state is current. It decides which other entries read, see ReadPolicy. The
package does no I/O and reads no clock.
*/
package pimentofeed
