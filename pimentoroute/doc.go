/*
Package pimentoroute holds what is published for an entry as one immutable
Table: the configuration in force, the targets, and the failure domains that
are out of service.

A Table answers which route a request takes. Records are what the platform
publishes one by one; Build makes a Table of them. Nothing here does I/O.
*/
package pimentoroute
