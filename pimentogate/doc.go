/*
Package pimentogate serves requests that come with their own identity on a
platform whose store can only be read.

A Gate takes requests from callers, asks a few near targets how busy they are,
and sends each request to the best of them on the connection that has just
answered. Everything it decides from is soft state: the published items, which
few gates read and the others hear of (pimentofeed), the members of the fleet
(pimentopeer), and what targets said milliseconds ago.

The platform's names and forms come in through a Dialect and a Decode function.

Locks are taken in this order: fleet.mu, flow.mu, then those of single
connections. None is held during I/O.
*/
package pimentogate
