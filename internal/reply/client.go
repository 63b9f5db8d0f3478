// Package reply checks HTTP responses where net/http does not: a head or a trailer of which net/http
// loses a part is malformed, and nothing of its response is used.
package reply

import (
	"net/http"
	"time"

	"plumpitch.example/plumpitch/internal/dial"
)

// connectTimeout is the timeout of a TCP connection of Client.
const connectTimeout = 30 * time.Second

// Client is http.DefaultClient with the connections of package dial and the checks of this package.
var Client = newClient()

func newClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = dial.New(dial.Config{Timeout: connectTimeout}).DialContext
	return &http.Client{Transport: Transport{t}}
}
