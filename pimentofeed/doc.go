/*
Package pimentofeed keeps one copy of what the platform publishes, and says
what another copy lacks.

A State holds items by key. Each has the revision of its last change, and the
highest revision wins for good, removals too. A state is complete up to the
revision AsOf, so a newer state can tell an older one just what has changed
since. Removals are remembered from the revision Base on; a state that is older
than that gets everything.

Age is the time since some reader has confirmed with the platform that the
state is current. It decides who else has to read, see Reader. Nothing here
does I/O or reads a clock.
*/
package pimentofeed
