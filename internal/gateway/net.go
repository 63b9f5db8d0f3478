package gateway

import (
	"net"
	"net/http"
	"time"
)

// Connections to the store may go silent without a reset while new ones work.
// Keep-alive probes then end a waiting watch within storeProbe times
// storeProbes, and an entry learns of the next change by a new one.
const (
	storeDial   = time.Second
	storeProbe  = time.Second
	storeProbes = 2
	storeIdle   = 30 * time.Second
)

func storeClient() *http.Client {
	d := net.Dialer{Timeout: storeDial, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: storeProbe, Interval: storeProbe, Count: storeProbes,
	}}
	return &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: storeIdle, DisableCompression: true,
	}}
}
