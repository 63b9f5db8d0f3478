package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// cases are the scripted cases by name. Each returns whether the rule was broken.
var cases = map[string]func(record string, trouble bool) (broken bool, err error){
	"cold":   playCold,
	"quota":  playQuota,
	"stall":  playStall,
	"stream": playStream,
	"upload": playUpload,
}

// maxRun bounds a case.
const maxRun = 110 * time.Second

// giveUp ends the processes of the site that is being played, and this one, at a signal or when the
// case takes too long.
func giveUp() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxRun):
	}
	playing.Lock()
	if playing.site != nil {
		playing.site.close()
	}
	fmt.Fprintln(os.Stderr, "rig: given up")
	os.Exit(exitUnable)
}

// playing is the site that is being played.
var playing struct {
	sync.Mutex
	site *site
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(exitUnable)
	}
	go giveUp()
	broken, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "rig:", err)
		os.Exit(exitUnable)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
