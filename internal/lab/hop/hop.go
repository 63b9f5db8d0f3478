// Package hop measures the overhead of an entry for each request. The same load goes
// in turns to the targets directly and through an entry, all in one process. The
// difference in latency, CPU time and allocations is the overhead.
package hop

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/olekukonko/tablewriter"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/load"
	"plumpitch.example/plumpitch/internal/site"
)

// Config configures a measurement.
type Config struct {
	Rounds   int     // each runs the load directly and through an entry
	Requests int     // per round, directly and again through an entry
	Rate     float64 // requests per second
	Writes   float64 // share of non-idempotent requests, which carry an idempotency key
	Entries  int     // live entries; requests with an idempotency key need replicas
	Settings []byte  // settings file that configures the service
	Service  string
	JSON     bool
}

// pathStats is the cost of the requests on one path: direct or through an entry.
type pathStats struct {
	latency    *hdrhistogram.Histogram
	cpu        time.Duration
	allocs     uint64 // heap allocations
	sent       int
	unanswered int
}

// warmUpRequests is the number of unmeasured requests on each path at the start.
const warmUpRequests = 500

// startTimeout limits the time until the site is ready.
const startTimeout = 20 * time.Second

// Run measures both paths and prints the results.
func Run(ctx context.Context, cfg Config, w io.Writer) (err error) {
	defer func() { err = errors.WithMessage(err, "hop") }()
	s, err := site.Start(site.Config{
		Region: "perth-metro", Places: []string{"fremantle-hall", "subiaco-hall", "joondalup-hall"},
		Services: []site.Service{{Name: cfg.Service, Targets: 4, Slots: 64}},
		Entries:  cfg.Entries,
		Log:      &log.Logger{Handler: discard.New()},
		Out:      io.Discard,
	})
	if err != nil {
		return err
	}
	defer s.Close()
	if err := applySettings(ctx, s, cfg.Settings); err != nil {
		return err
	}
	direct, through, err := measure(ctx, s, cfg)
	if err != nil {
		return err
	}
	return writeResults(w, cfg, direct, through)
}

// applySettings applies the settings and waits until the site is ready.
func applySettings(ctx context.Context, s *site.Site, settings []byte) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := site.Apply(ctx, s.Store, "settings", settings); err != nil {
		return err
	}
	return s.Ready(ctx)
}

// measure runs the load on both paths in turns and adds up the cost of each path.
func measure(ctx context.Context, s *site.Site, cfg Config) (direct, through pathStats, err error) {
	directLoad := load.Config{
		Services: []string{cfg.Service}, Rate: cfg.Rate, Writes: cfg.Writes, Timeout: 5 * time.Second,
	}
	for _, t := range s.Targets {
		directLoad.Direct = append(directLoad.Direct, t.Addr)
	}
	entryLoad := directLoad
	entryLoad.Direct, entryLoad.Entries = nil, s.Callers()
	direct.latency = hdrhistogram.New(1, 60_000_000, 3)
	through.latency = hdrhistogram.New(1, 60_000_000, 3)
	for _, c := range []load.Config{directLoad, entryLoad} {
		c.Requests = warmUpRequests
		if _, err := load.Run(ctx, c); err != nil {
			return direct, through, err
		}
	}
	for n := range cfg.Rounds {
		directLoad.Seed, entryLoad.Seed = uint64(n), uint64(n)
		directLoad.Requests, entryLoad.Requests = cfg.Requests, cfg.Requests
		if err := direct.addRound(ctx, directLoad); err != nil {
			return direct, through, err
		}
		if err := through.addRound(ctx, entryLoad); err != nil {
			return direct, through, err
		}
	}
	return direct, through, nil
}

// addRound runs the load of one round on the path and adds its cost.
func (s *pathStats) addRound(ctx context.Context, cfg load.Config) (err error) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpuBefore, err := cpuTime()
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, cfg)
	if err != nil {
		return err
	}
	cpuAfter, err := cpuTime()
	if err != nil {
		return err
	}
	runtime.ReadMemStats(&after)
	s.cpu += cpuAfter - cpuBefore
	s.allocs += after.Mallocs - before.Mallocs
	s.sent += report.Sent
	s.unanswered += report.Sent - report.Answered
	s.latency.Merge(report.Latency)
	return nil
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() (d time.Duration, err error) {
	var u syscall.Rusage
	err = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), err
}

// result is one line of the table. Times are in microseconds; CPU time and
// allocations are per request.
type result struct {
	Way        string  `json:"way"`
	Sent       int     `json:"sent"`
	Unanswered int     `json:"bad"`
	P50        float64 `json:"p50us"`
	P99        float64 `json:"p99us"`
	CPU        float64 `json:"cpuus"`
	Allocs     float64 `json:"allocs"`
}

func (s pathStats) result(way string) result {
	n := float64(s.sent)
	return result{
		Way: way, Sent: s.sent, Unanswered: s.unanswered,
		P50: float64(s.latency.ValueAtQuantile(50)), P99: float64(s.latency.ValueAtQuantile(99)),
		CPU: float64(s.cpu.Microseconds()) / n, Allocs: float64(s.allocs) / n,
	}
}

// writeResults prints both paths and their difference.
func writeResults(w io.Writer, cfg Config, direct, through pathStats) (err error) {
	d, t := direct.result("direct"), through.result("entry")
	added := result{Way: "added", P50: t.P50 - d.P50, P99: t.P99 - d.P99, CPU: t.CPU - d.CPU, Allocs: t.Allocs - d.Allocs}
	rows := []result{d, t, added}
	if cfg.JSON {
		return json.NewEncoder(w).Encode(rows)
	}
	table := tablewriter.NewWriter(w)
	table.SetHeader([]string{"way", "sent", "not answered", "p50 us", "p99 us", "cpu us", "allocs"})
	table.SetBorders(tablewriter.Border{Left: true, Right: true})
	table.SetCenterSeparator("|")
	for _, r := range rows {
		table.Append([]string{
			r.Way, fmt.Sprint(r.Sent), fmt.Sprint(r.Unanswered), fmt.Sprintf("%.0f", r.P50), fmt.Sprintf("%.0f", r.P99),
			fmt.Sprintf("%.1f", r.CPU), fmt.Sprintf("%.1f", r.Allocs),
		})
	}
	table.Render()
	return nil
}
