package pimentosignal

import (
	"os/signal"
	"syscall"
)

// IgnoreBrokenPipe makes a write to standard output or standard error whose reader has
// closed its end fail with EPIPE instead of ending the process.
func IgnoreBrokenPipe() { signal.Ignore(syscall.SIGPIPE) }
