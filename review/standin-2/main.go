// Command standin2 runs the cases of the second review: it starts gates as separate processes,
// and plays the store, the backends and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCant   = 2
)

// caseFunc plays a case. It returns the number of times that the rule was broken.
type caseFunc func(d *deployment, trouble bool) (broken int, err error)

var cases = map[string]caseFunc{
	"halfbody": halfBody,
	"restore":  restore,
	"slowline": slowLine,
	"slowbody": slowBody,
}

func main() { os.Exit(run()) }

// run plays the case that the first argument names. The second one is the folder of
// record.txt, and the third one the root of the repository.
func run() int {
	if len(os.Args) == 4 && os.Args[1] == "child" {
		return serveChild(os.Args[2], os.Args[3])
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER ROOT")
		return exitCant
	}
	root, err := filepath.Abs(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCant
	}
	rec, closeRecord, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCant
	}
	defer closeRecord()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCant
	}
	defer func() { _ = os.RemoveAll(dir) }()
	line, err := runLine(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCant
	}
	s, stopStore, err := startStore()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCant
	}
	defer stopStore()
	d := &deployment{
		dir: dir, run: line, root: root, store: s, rec: rec,
		zones: map[string]string{"suva-a": "viti-levu", "nadi-b": "viti-levu", "labasa-a": "vanua-levu"},
	}
	defer d.stopAll()
	defer d.stopOnSignal()()
	broken, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("can't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCant
	}
	rec.printf("result: broken %d times", broken)
	fmt.Printf("broken %d times\n", broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// playTime bounds the time of a case.
const playTime = 110 * time.Second

// stopOnSignal ends the gates and this process when a signal comes, or when the case takes too
// long. It returns a cleanup function.
func (d *deployment) stopOnSignal() func() {
	signals, done := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-done:
			return
		case <-signals:
		case <-time.After(playTime):
		}
		d.stopAll()
		_ = os.RemoveAll(d.dir)
		os.Exit(exitCant)
	}()
	return func() { close(done) }
}
