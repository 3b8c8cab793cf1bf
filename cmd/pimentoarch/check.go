package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"pimentoarch/pimentoregister"
)

// runCheck prints every error of a document, one per line, and returns the exit status.
func runCheck(cmd *checkCmd, stdout, stderr io.Writer) int {
	data, err := os.ReadFile(cmd.File)
	if err != nil {
		fmt.Fprintf(stderr, "pimentoarch: %v\n", err)
		return exitFailed
	}
	d, err := pimentoregister.Parse(data)
	if err == nil {
		fmt.Fprintf(stdout, "%s: %d regions, %d services, %d VMs, %d organisations: no errors\n",
			cmd.File, len(d.Regions), len(d.Services), len(d.VMs), len(d.Organisations))
		return exitOK
	}
	var regErr *pimentoregister.Error
	if errors.As(err, &regErr) && len(regErr.Violations) > 0 {
		for _, v := range regErr.Violations {
			fmt.Fprintf(stdout, "%s: %s\n", cmd.File, v)
		}
		return exitFailed
	}
	fmt.Fprintf(stdout, "%s: %v\n", cmd.File, errors.Unwrap(err))
	return exitFailed
}
