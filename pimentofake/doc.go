/*
Package pimentofake provides fakes of the systems around pimentoarch: the platform's
service, targets, and callers with a balancer that selects entries for them. They are for
tests, demos and experiments on one machine.

The platform and the targets accept orders over HTTP below /fake/, so that a script can
inject faults.
*/
package pimentofake
