// Package reply has the HTTP client for responses that are read to their end: of entries to commands,
// and of stand-ins.
package reply

import (
	"net/http"
	"time"

	"plumpitch.example/plumpitch/internal/dial"
)

// connectTimeout is the timeout of a TCP connection of Client, and keepAlive its interval.
const connectTimeout = 30 * time.Second

// Client is http.DefaultClient with the connections of package dial.
var Client = newClient()

func newClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = dial.New(dial.Config{Timeout: connectTimeout}).DialContext
	return &http.Client{Transport: t}
}
