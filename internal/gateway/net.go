package gateway

import (
	"net"
	"net/http"
	"time"
)

// Timeouts of connections to the store. A connection may stop working without a reset
// while new ones work. TCP keep-alive then closes it after storeKeepAliveInterval without
// data and storeKeepAliveProbes unanswered probes, one per interval, and the entry opens
// its watch again on a new connection.
const (
	storeDial   = time.Second
	storeProbe  = time.Second
	storeProbes = 2
	storeIdle   = 30 * time.Second
)

// storeClient returns the HTTP client for the store.
func storeClient() *http.Client {
	dialer := net.Dialer{Timeout: storeDial, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: storeProbe, Interval: storeProbe, Count: storeProbes,
	}}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: storeIdle, DisableCompression: true,
	}}
}
