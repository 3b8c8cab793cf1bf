// Command standin plays a case of the review: it starts gates with the command of the
// deploy file, and stand-ins for the store, the backends and the clients around them.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCant   = 2
)

// Case is what a case needs.
type Case struct {
	Rec     *Record
	Dir     string // For settings and logs.
	Trouble bool
	Gates   []*Gate

	collected bool // Collectors read the gates' standard output.
}

var cases = map[string]func(*Case) bool{
	"cut":   playCut,
	"slots": playSlots,
	"logs":  playLogs,
	"odd":   playOdd,
}

func main() { os.Exit(run()) }

// run plays the case named by the first argument, with its folder as the second.
func run() (status int) {
	defer func() {
		if p := recover(); p != nil {
			c, ok := p.(cannotRun)
			if !ok {
				panic(p)
			}
			fmt.Fprintln(os.Stderr, "can't run:", c.why)
			status = exitCant
		}
	}()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fatal(fmt.Errorf("usage: standin CASE FOLDER"))
	}
	tmp, err := os.MkdirTemp("", "review")
	check(err)
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(tmp)
	} else {
		fmt.Println("logs in", tmp)
	}
	folder, err := filepath.Abs(os.Args[2])
	check(err)
	c := &Case{Rec: NewRecord(folder), Dir: tmp, Trouble: os.Getenv("TROUBLE") != "0"}
	defer c.Rec.Close()
	defer func() {
		for _, g := range c.Gates {
			g.Kill()
		}
	}()
	if cases[os.Args[1]](c) {
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

// Say prints a line and records it.
func (c *Case) Say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	c.Rec.Note(format, args...)
}
