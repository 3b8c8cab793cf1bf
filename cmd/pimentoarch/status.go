package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentoentry"
)

const statusTimeout = 5 * time.Second

// runStatus prints an entry's status as text or JSON.
func runStatus(cmd *statusCmd, stdout, stderr io.Writer) int {
	code, body, err := fasthttp.GetTimeout(nil, "http://"+cmd.Address+"/status", statusTimeout)
	if err != nil {
		fmt.Fprintf(stderr, "pimentoarch: status of %s: %v\n", cmd.Address, err)
		return exitFailed
	}
	if code != fasthttp.StatusOK {
		fmt.Fprintf(stderr, "pimentoarch: status of %s: status %d\n", cmd.Address, code)
		return exitFailed
	}
	if cmd.JSON {
		fmt.Fprintf(stdout, "%s\n", body)
		return exitOK
	}
	var st pimentoentry.Status
	if err := json.Unmarshal(body, &st); err != nil {
		fmt.Fprintf(stderr, "pimentoarch: status of %s: %v\n", cmd.Address, err)
		return exitFailed
	}
	printStatus(stdout, &st)
	return exitOK
}

func printStatus(out io.Writer, st *pimentoentry.Status) {
	fmt.Fprintf(out, "%s: revision %d, ready %t, stopping %t, running %d, keys %s\n",
		st.Name, st.Revision, st.Ready, st.Stopping, st.Running, st.Keys)
	if st.Refused > 0 {
		fmt.Fprintf(out, "revision %d was refused: %s\n", st.Refused, st.Why)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "\nSERVICE\tTARGET\tSTATE\tSHARE\tOUTSTANDING\tWHY")
	for _, s := range st.Services {
		for _, t := range s.Targets {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", s.Name, t.Name, t.State, t.Share, t.Outstanding, t.Why)
		}
	}
	fmt.Fprintln(w, "\nPEER\tREGION\tREACHABLE\tSTOPPING\tREVISION\t")
	for _, p := range st.Peers {
		fmt.Fprintf(w, "%s\t%s\t%t\t%t\t%d\t\n", p.Name, p.Region, p.Reachable, p.Stopping, p.Revision)
	}
	_ = w.Flush()
}
