package main

import (
	"fmt"
	"io"
	"os"
)

// addFile hands a file's content to add.
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
