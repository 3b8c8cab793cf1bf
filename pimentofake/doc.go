/*
Package pimentofake has small stand-ins for the systems that pimentoarch meets:
the platform's service, targets, and callers with a balancer before them. They
are for tests, demos and experiments on one machine.

Both servers take orders over HTTP below /fake/, so that a script can let them
fail.
*/
package pimentofake
