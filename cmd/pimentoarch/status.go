package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentoentry"
	"pimentoarch/pimentogate"
)

// statusTimeout bounds the status request.
const statusTimeout = 5 * time.Second

// runStatus prints the status of an entry or a gate as text or JSON, and returns the exit
// status. The two have different JSON fields; only a gate's status has asof.
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
	var gate struct {
		AsOf *uint64 `json:"asof"`
	}
	if json.Unmarshal(body, &gate) == nil && gate.AsOf != nil {
		return printGate(stdout, stderr, cmd.Address, body)
	}
	var st pimentoentry.Status
	if err := json.Unmarshal(body, &st); err != nil {
		fmt.Fprintf(stderr, "pimentoarch: status of %s: %v\n", cmd.Address, err)
		return exitFailed
	}
	printStatus(stdout, &st)
	return exitOK
}

// printStatus prints an entry's status as text.
func printStatus(out io.Writer, st *pimentoentry.Status) {
	fmt.Fprintf(out, "%s: revision %d, ready %t, stopping %t, running %d, keys %s\n",
		st.Name, st.Revision, st.Ready, st.Stopping, st.Running, st.Keys)
	if st.RefusedRevision > 0 {
		fmt.Fprintf(out, "revision %d was refused: %s\n", st.RefusedRevision, st.RefusedReason)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "\nSERVICE\tTARGET\tSTATE\tSHARE\tOUTSTANDING\tWHY")
	for _, s := range st.Services {
		for _, t := range s.Targets {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", s.Name, t.Name, t.State, t.Share, t.Outstanding, t.Reason)
		}
	}
	fmt.Fprintln(w, "\nPEER\tREGION\tREACHABLE\tSTOPPING\tREVISION\t")
	for _, p := range st.Peers {
		fmt.Fprintf(w, "%s\t%s\t%t\t%t\t%d\t\n", p.Name, p.Region, p.Reachable, p.Stopping, p.Revision)
	}
	_ = w.Flush()
}

// printKeys prints what a gate's status says about keys, if there are organisations.
func printKeys(out io.Writer, st *pimentogate.Status) {
	switch {
	case st.Organisations == 0:
	case st.KeysLimitMillis == 0:
		fmt.Fprintf(out, "%d organisations, no limit of the age of keys\n", st.Organisations)
	case st.KeysAgeMillis < 0:
		fmt.Fprintf(out, "%d organisations, age of keys unknown, limit %d ms, refused %t\n", st.Organisations, st.KeysLimitMillis, st.KeysRefused)
	default:
		fmt.Fprintf(out, "%d organisations, keys known %d ms ago, limit %d ms, refused %t\n", st.Organisations, st.KeysAgeMillis, st.KeysLimitMillis, st.KeysRefused)
	}
}

// printGate parses a gate's status, prints it as text, and returns the exit status.
func printGate(stdout, stderr io.Writer, address string, body []byte) int {
	var st pimentogate.Status
	if err := json.Unmarshal(body, &st); err != nil {
		fmt.Fprintf(stderr, "pimentoarch: status of %s: %v\n", address, err)
		return exitFailed
	}
	fmt.Fprintf(stdout, "%s: configuration %d, ready %t, items of revision %d known %d ms ago, reads the platform %t, %d entries, %d in the own domain\n",
		st.Name, st.ConfigVersion, st.Ready, st.Revision, st.AgeMillis, st.ReadsPlatform, st.Entries, st.DomainEntries)
	printKeys(stdout, &st)
	for _, domain := range st.OutDomains {
		fmt.Fprintf(stdout, "failure domain %s is out of service\n", domain)
	}
	w := tabwriter.NewWriter(stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "\nSERVICE\tTARGET\tDOMAIN\tADDRESS\tCOLD\tRESTING\tFAILING\tSENDING\t")
	for _, name := range slices.Sorted(maps.Keys(st.Targets)) {
		for _, t := range st.Targets[name] {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\t%t\t%.2f\t%d\t\n", name, t.ID, t.Domain, t.Address, t.Cold, t.InBackoff, t.FailureRate, t.InFlight)
		}
	}
	if err := w.Flush(); err != nil {
		fmt.Fprintf(stderr, "pimentoarch: status of %s: %v\n", address, err)
		return exitFailed
	}
	return exitOK
}
