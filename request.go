package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/reply"
)

// entryRequestTimeout bounds one request to an entry.
const entryRequestTimeout = 10 * time.Second

// maxEntryResponse limits the response of an entry to a command, in bytes.
const maxEntryResponse = 64 << 20

// requestEntry sends a request without a body to an entry and returns the body of the
// response. If the status is not 200, the error contains the status and the body.
func requestEntry(ctx context.Context, method, addr, path string) (body []byte, err error) {
	defer func() { err = errors.WithMessagef(err, "entry %s", addr) }()
	if addr == "" {
		return nil, exitError{exitUsage, errors.New("--entry: found nothing, expected host:port")}
	}
	ctx, cancel := context.WithTimeout(ctx, entryRequestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	res, err := reply.Client.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if body, err = io.ReadAll(http.MaxBytesReader(nil, res.Body, maxEntryResponse)); err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s: %s", res.Status, body)
	}
	return body, nil
}

// printResponse sends a GET request to an entry and prints the body of the response
// unchanged.
func printResponse(ctx context.Context, addr, path string) (err error) {
	body, err := requestEntry(ctx, http.MethodGet, addr, path)
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(os.Stdout, string(body))
	return err
}
