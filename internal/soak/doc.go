// Package soak contains a randomized test of gateway processes. It injects faults from
// outside the processes: loopback proxies delay, reset or drop the data of connections, in
// both directions or one; signals stop, pause and kill gateways, which are then restarted; the
// store and the targets fail. It checks the guarantees to callers and targets by the requests
// and responses on their connections.
//
//	go test ./internal/soak -seeds 50 -time 40s
//
// Each seed determines one schedule of overlapping faults. The package contains only tests.
package soak
