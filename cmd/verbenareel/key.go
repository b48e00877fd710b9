package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	stdio "io"
	"strings"
	"unicode"

	"github.com/urfave/cli/v3"

	"verbenareel/core"
)

// maxKeyBytes is the maximum length of an API key. A longer one does not fit into the header of a request.
const maxKeyBytes = 16 << 10

var (
	errKeyLength = fmt.Errorf("the API key is empty or longer than %d bytes", maxKeyBytes)
	errKeyText   = errors.New("the API key has a control character, or begins or ends with white space, which a header field cannot carry")
)

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "read an API key from standard input and print its hash for key_hashes in the document",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() > 0 {
				// Arguments are visible to every user of the machine.
				return &usageError{err: errors.New("key reads the API key from standard input, not from its arguments")}
			}
			return printKeyHash(c.Root().Reader, c.Root().Writer)
		},
	}
}

// printKeyHash reads one API key, with or without a line end, and writes its hash.
func printKeyHash(r stdio.Reader, w stdio.Writer) error {
	text, err := stdio.ReadAll(bufio.NewReader(stdio.LimitReader(r, maxKeyBytes+int64(len("\r\n"))+1)))
	if err != nil {
		return fmt.Errorf("read API key: %w", err)
	}
	key := strings.TrimSuffix(strings.TrimSuffix(string(text), "\n"), "\r")
	if key == "" || len(key) > maxKeyBytes {
		return errKeyLength
	}
	if strings.TrimSpace(key) != key || strings.IndexFunc(key, unicode.IsControl) >= 0 {
		return errKeyText
	}
	_, err = fmt.Fprintln(w, core.HashKey(key))
	if err != nil {
		return fmt.Errorf("write hash: %w", err)
	}
	return nil
}
