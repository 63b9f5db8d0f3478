package gateway

import (
	"net"
	"net/http"
	"time"

	"plumpitch.example/plumpitch/internal/dial"
	"plumpitch.example/plumpitch/internal/reply"
)

// Timeouts of connections to the store. A connection may stop working without a reset
// while new ones work. TCP keep-alive then closes it after storeKeepAliveInterval without
// data and storeKeepAliveProbes unanswered probes, one per interval, and the entry opens
// its watch again on a new connection.
const (
	storeDialTimeout       = time.Second
	storeKeepAliveInterval = time.Second
	storeKeepAliveProbes   = 2
	storeIdleTimeout       = 30 * time.Second
)

// Bounds of a connection to the store, in bytes: the head of a response, and what is unread.
const (
	storeHeaderBytes = 64 << 10
	storeReadBuffer  = 512 << 10
)

// storeClient returns the HTTP client for the store.
func storeClient() *http.Client {
	dialer := dial.New(dial.Config{Timeout: storeDialTimeout, ReadBuffer: storeReadBuffer, KeepAlive: net.KeepAliveConfig{
		Enable: true, Idle: storeKeepAliveInterval, Interval: storeKeepAliveInterval, Count: storeKeepAliveProbes,
	}})
	return &http.Client{Transport: reply.Transport{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: storeIdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: storeHeaderBytes,
	}}}
}
