/*
Package pimentoregister holds the register, which is the inventory and the rules that
operators publish, and decides which published document is active.

A Document is the JSON value that the platform publishes: regions with their
failure domains, services, VMs, organisations and rules. Other packages call the
active document the configuration. Check depends on the content only, so that every
entry accepts or refuses the same documents without exchanging messages. A document is
accepted as a whole or not at all.

A Store keeps the last accepted document. Of two accepted documents the one with
the higher revision is active, in whatever order they arrive, so that a stale
replica of the service that publishes them can't revert a change.

A View is an index of a document for request handling. It is immutable, so readers
need no lock. Building a view reuses those services of the previous view that are
equal.
*/
package pimentoregister
