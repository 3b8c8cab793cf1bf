// Package pimentomemory bounds the bytes that a process holds for its callers, targets and
// peers at a time.
//
// A Budget is shared by all requests of a process. Each request has a Grant, which grows
// before bytes are held for it. If the budget is used up, the grant doesn't grow, and the
// holder has to do without: it forwards a body while it is received, or refuses the request.
package pimentomemory
