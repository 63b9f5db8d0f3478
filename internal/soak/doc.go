// Package soak holds a randomized test of gateway processes. It injects faults from
// outside them: connections through loopback proxies that delay, reset, swallow or cut one
// way, signals that stop, pause, kill and restart, and a store and targets that misbehave.
// It checks the promises to callers and targets by what these see on their sockets.
//
//	go test ./internal/soak -seeds 50 -time 40s
//
// Each seed plays one schedule of faults, which come in series and overlap. The package
// has no code but its tests.
package soak
