package main

import (
	"fmt"
	"io"
	"os"
)

// addFile opens a file and passes it to add. It returns an error of either.
func addFile(file string, add func(io.Reader) error) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if err := add(f); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}
