// Package order checks the ranking of the policies over loopback. For each policy in
// turn, the load generator sends requests through a real entry to fake targets.
// Only the ratios between policies are meaningful, since other processes share the
// machine.
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

// Config configures a run.
type Config struct {
	Requests int     // per policy
	Load     float64 // share of the capacity of the targets
	Factor   float64 // multiplies the service time of the first target, the straggler; 1 for no straggler
	Seed     uint64  // of the arrivals
	Settings []byte  // settings file that configures Service
	Service  string
	JSON     bool
}

// The site that each policy is measured on.
const (
	targets          = 8
	slots            = 2 // per target
	meanServiceTime  = 10 * time.Millisecond
	serviceTimeSigma = 1.0              // standard deviation of the logarithm of the service time
	startTimeout     = 20 * time.Second // until the site is ready
)

// row is the result of one policy. Ratio is its p99 divided by that of the first
// policy.
type row struct {
	Policy   string  `json:"policy"`
	Sent     int     `json:"sent"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	P50      float64 `json:"p50ms"`
	P99      float64 `json:"p99ms"`
	Ratio    float64 `json:"ratio"`
}

// Run measures every policy and prints one line for each.
func Run(ctx context.Context, cfg Config, w io.Writer) (err error) {
	defer func() { err = errors.WithMessage(err, "order") }()
	var rows []row
	for _, policy := range pool.PolicyNames() {
		r, err := measurePolicy(ctx, cfg, policy)
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
	writeTable(w, rows)
	return nil
}

// measurePolicy runs the load with one policy, on a site of its own.
func measurePolicy(ctx context.Context, cfg Config, policy string) (r row, err error) {
	s, err := site.Start(site.Config{
		Region: "perth-metro", Places: []string{"fremantle-hall"}, Entries: 1,
		Services: []site.Service{{Name: cfg.Service, Targets: targets, Slots: slots, Mean: meanServiceTime, Sigma: serviceTimeSigma}},
		Log:      &log.Logger{Handler: discard.New()}, Out: io.Discard,
	})
	if err != nil {
		return r, err
	}
	defer s.Kill()
	if err := applyPolicy(ctx, s, cfg.Settings, policy); err != nil {
		return r, err
	}
	s.Targets[0].SetFault(target.Fault{Factor: cfg.Factor})
	report, err := load.Run(ctx, load.Config{
		Entries: s.Callers(), Services: []string{cfg.Service}, Seed: cfg.Seed, Timeout: 10 * time.Second,
		Requests: cfg.Requests, Rate: cfg.Load * targets * slots / meanServiceTime.Seconds(),
	})
	if err != nil {
		return r, err
	}
	ms := func(q float64) float64 { return float64(report.Latency.ValueAtQuantile(q)) / 1000 }
	return row{Policy: policy, Sent: report.Sent, Answered: report.Answered, Refused: report.Refused, P50: ms(50), P99: ms(99)}, nil
}

// applyPolicy applies the settings with the given policy at the root, and waits until
// the site is ready.
func applyPolicy(ctx context.Context, s *site.Site, settings []byte, policy string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	doc, err := tree.Parse("settings", settings)
	if err != nil {
		return err
	}
	root := doc.Nodes[tree.Root]
	if root.Values == nil {
		root.Values = make(map[string]string)
	}
	root.Values["policy"] = policy
	doc.Nodes[tree.Root] = root
	if err := site.ApplyDocument(ctx, s.Store, doc); err != nil {
		return err
	}
	return s.Ready(ctx)
}

func writeTable(w io.Writer, rows []row) {
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
