/*
Package pimentoregister holds the inventory and the rules that operators
publish, and decides which published document is in force.

A Document is the JSON value that the platform publishes: regions with their
failure domains, services, VMs, organisations and rules. Check is a pure
function of the content, so that every entry accepts or refuses the same
document without talking to the others. A document is accepted whole or not
at all.

A Store keeps the last accepted document. Of two accepted documents the one
with the higher revision is in force, in whatever order they arrive, so that a
stale replica of the platform's service can't revert a change.

A View is the index of a document that request handling reads. It is never
changed after it has been built, so readers need no lock. Building a view from
its predecessor reuses the parts that are alike.
*/
package pimentoregister
