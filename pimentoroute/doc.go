/*
Package pimentoroute holds the published state that an entry of package pimentogate
needs in one immutable Table: the active configuration, the targets, and the failure
domains that are out of service. Package pimentoentry uses pimentoregister instead.

Table.Match returns the route of a request. Records are the items that the platform
publishes; Build makes a Table from them. The package does no I/O.
*/
package pimentoroute
