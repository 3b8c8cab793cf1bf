// Package pimentosignal handles the signals that would otherwise end a process.
//
// SIGHUP is caught from the initialisation of this package on, which imports little so
// that it is initialised before most others.
package pimentosignal

import (
	"os"
	"os/signal"
	"syscall"
)

// hangups receives a value after a SIGHUP. Signals that arrive before it is received are
// merged into it.
var hangups = make(chan os.Signal, 1)

func init() { signal.Notify(hangups, syscall.SIGHUP) }

// Reload returns a channel that receives a value after a SIGHUP, also after one that came
// before the call.
func Reload() <-chan os.Signal { return hangups }
