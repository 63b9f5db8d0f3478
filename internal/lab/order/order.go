// Package order confirms the order of the policies over loopback: real entries,
// stand-in targets and the load tool, one policy after the other in one run.
// Only ratios count, since the machine has other work too.
package order

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/olekukonko/tablewriter"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/load"
	"plumpitch.example/plumpitch/internal/site"
	"plumpitch.example/plumpitch/internal/standin/target"
	"plumpitch.example/plumpitch/pkg/pool"
	"plumpitch.example/plumpitch/pkg/tree"
)

// Config of a run.
type Config struct {
	Requests int     // of each policy
	Load     float64 // share of what the targets can do
	Factor   float64 // how much slower the straggler is; 1 for none
	Seed     uint64
	Settings []byte // settings file that names Service
	Service  string
	JSON     bool
}

// The site of each policy.
const (
	targets = 8
	slots   = 2
	mean    = 10 * time.Millisecond
	sigma   = 1.0
	start   = 20 * time.Second
)

// row is one policy's result. Ratio is its p99 over that of the first policy.
type row struct {
	Policy   string  `json:"policy"`
	Sent     int     `json:"sent"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	P50      float64 `json:"p50ms"`
	P99      float64 `json:"p99ms"`
	Ratio    float64 `json:"ratio"`
}

// Run prints one line for each policy.
func Run(ctx context.Context, cfg Config, w io.Writer) (err error) {
	defer func() { err = errors.WithMessage(err, "order") }()
	var rows []row
	for _, policy := range pool.Names() {
		r, err := measure(ctx, cfg, policy)
		if err != nil {
			return err
		}
		rows = append(rows, r)
	}
	for n := range rows {
		rows[n].Ratio = rows[n].P99 / rows[0].P99
	}
	if cfg.JSON {
		return json.NewEncoder(w).Encode(rows)
	}
	table(w, rows)
	return nil
}

func measure(ctx context.Context, cfg Config, policy string) (r row, err error) {
	s, err := site.Start(site.Config{
		Region: "perth-metro", Places: []string{"fremantle-hall"}, Entries: 1,
		Services: []site.Service{{Name: cfg.Service, Targets: targets, Slots: slots, Mean: mean, Sigma: sigma}},
		Log:      &log.Logger{Handler: discard.New()}, Out: io.Discard,
	})
	if err != nil {
		return r, err
	}
	defer s.Kill()
	if err := prepare(ctx, s, cfg.Settings, policy); err != nil {
		return r, err
	}
	s.Targets[0].Break(target.Fault{Factor: cfg.Factor})
	report, err := load.Run(ctx, load.Config{
		Entries: s.Callers(), Services: []string{cfg.Service}, Seed: cfg.Seed, Timeout: 10 * time.Second,
		Requests: cfg.Requests, Rate: cfg.Load * targets * slots / mean.Seconds(),
	})
	if err != nil {
		return r, err
	}
	ms := func(q float64) float64 { return float64(report.Latency.ValueAtQuantile(q)) / 1000 }
	return row{Policy: policy, Sent: report.Sent, Answered: report.Answered, Refused: report.Refused, P50: ms(50), P99: ms(99)}, nil
}

// prepare puts the settings with another policy in force.
func prepare(ctx context.Context, s *site.Site, text []byte, policy string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, start)
	defer cancel()
	d, err := tree.Parse("settings", text)
	if err != nil {
		return err
	}
	root := d.Nodes[tree.Root]
	if root.Values == nil {
		root.Values = make(map[string]string)
	}
	root.Values["policy"] = policy
	d.Nodes[tree.Root] = root
	if err := site.ApplyDocument(ctx, s.Store, d); err != nil {
		return err
	}
	return s.Ready(ctx)
}

func table(w io.Writer, rows []row) {
	t := tablewriter.NewWriter(w)
	t.SetHeader([]string{"policy", "sent", "answered", "refused", "p50 ms", "p99 ms", "p99 ratio"})
	t.SetAutoFormatHeaders(false)
	t.SetBorders(tablewriter.Border{Left: true, Right: true})
	t.SetCenterSeparator("|")
	for _, r := range rows {
		t.Append([]string{
			r.Policy, fmt.Sprint(r.Sent), fmt.Sprint(r.Answered), fmt.Sprint(r.Refused),
			fmt.Sprintf("%.1f", r.P50), fmt.Sprintf("%.1f", r.P99), fmt.Sprintf("%.2f", r.Ratio),
		})
	}
	t.Render()
}
