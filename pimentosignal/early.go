//go:build cgo

package pimentosignal

/*
#include <signal.h>

// Runs before the Go runtime starts. A SIGHUP that is ignored here has no effect: the
// settings are read later.
__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
