package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	"github.com/integrii/flaggy"

	"plumpitch.example/plumpitch/internal/load"
	"plumpitch.example/plumpitch/internal/site"
)

//go:embed examples/swanbourne.json
var swanbourne []byte

const (
	// devRate is the load that dev --seconds sends, in requests per second. With the mean
	// service time of devSite it keeps about 3 of the targets' 54 slots busy.
	devRate = 600
	// devWriteShare is the share of keyed non-idempotent requests in this load.
	devWriteShare = 0.2
	// devStartTimeout is the time within which the site must be ready.
	devStartTimeout = 20 * time.Second
)

// devSite returns the configuration of the example site, Swanbourne.
func devSite(logger log.Interface) site.Config {
	return site.Config{
		Region: "perth-metro",
		Places: []string{"fremantle-hall", "subiaco-hall", "joondalup-hall"},
		Services: []site.Service{
			{Name: "gown-catalogue", Targets: 14, Slots: 2, Mean: 5 * time.Millisecond, Sigma: 1},
			{Name: "fitting-diary", Targets: 7, Slots: 2, Mean: 5 * time.Millisecond, Sigma: 1},
			{Name: "deposit-ledger", Targets: 6, Slots: 2, Mean: 5 * time.Millisecond, Sigma: 1},
		},
		Entries: 2,
		Log:     logger,
		Out:     os.Stderr,
	}
}

func devCommand() *command {
	seconds := 0
	var asJSON, gateways bool
	sub := flaggy.NewSubcommand("dev")
	sub.Description = "run a whole small site in one process on loopback"
	sub.Int(&seconds, "t", "seconds", "duration of a mixed load, after which the command stops; 0 serves until interrupted")
	sub.Bool(&asJSON, "j", "json", "with --seconds: print the result as one JSON object")
	sub.Bool(&gateways, "g", "gateway", "run gateways on stand-ins of the users' platform instead of entries")
	sub.AdditionalHelpAppend = "Example: plumpitch dev --seconds 5 --json"
	return &command{sub: sub, run: func(ctx context.Context) error {
		if gateways {
			return runDevGateways(ctx, time.Duration(seconds)*time.Second)
		}
		return runDev(ctx, time.Duration(seconds)*time.Second, asJSON)
	}}
}

func runDev(ctx context.Context, length time.Duration, asJSON bool) (err error) {
	s, err := site.Start(devSite(&log.Logger{Handler: jsonlog.New(os.Stderr), Level: log.WarnLevel}))
	if err != nil {
		return err
	}
	defer s.Close()
	startCtx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	if err := site.Apply(startCtx, s.Store, "examples/swanbourne.json", swanbourne); err != nil {
		return err
	}
	if err := s.Ready(startCtx); err != nil {
		return err
	}
	if length == 0 {
		printDev(s)
		<-ctx.Done()
		fmt.Println("stopping: entries keep serving until their locate responses have expired")
		return nil
	}
	return loadDev(ctx, s, length, asJSON)
}

func printDev(s *site.Site) {
	callers := s.Callers()
	operators := s.Entries[0].Addresses().Operators
	fmt.Println("platform stand-in:", s.Store)
	for _, e := range s.Entries {
		a := e.Addresses()
		fmt.Printf("entry: callers %s, operators %s\n", a.Callers, a.Operators)
	}
	fmt.Printf(`
try next:
  go run . locate gown-catalogue --entry %[1]s
  curl http://%[1]s/v1/call/gown-catalogue/hello
  go run . status --entry %[2]s
  go run . explain gown-catalogue --entry %[2]s
  go run . drain gown-catalogue-1 --entry %[2]s
  go run . load --entries %[1]s --services gown-catalogue --rate 200 --seconds 5

interrupt to stop
`, callers[0], operators)
}

// devJSON is the JSON form of the result of dev --seconds.
type devJSON struct {
	Sent     int     `json:"sent"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	Unknown  int     `json:"unknown"`
	Doubled  int     `json:"doubled"`
	Crossed  int     `json:"crossed"`
	Lost     int     `json:"lost"`
	P50      float64 `json:"p50ms"`
	P99      float64 `json:"p99ms"`
	Probes   uint64  `json:"probes"`
	ProbeMs  float64 `json:"probems"`
}

func loadDev(ctx context.Context, s *site.Site, length time.Duration, asJSON bool) (err error) {
	report, err := load.Run(ctx, load.Config{
		Entries: s.Callers(), Services: []string{"gown-catalogue", "fitting-diary", "deposit-ledger"},
		Rate: devRate, Length: length, Writes: devWriteShare, Timeout: 5 * time.Second, Seed: 1,
	})
	if err != nil {
		return err
	}
	r := reportOf(report)
	d := devJSON{
		Sent: r.Sent, Answered: r.Answered, Refused: r.Refused, Unknown: r.Unknown, Doubled: s.DuplicateRuns(),
		Crossed: r.Crossed, Lost: r.Lost, P50: r.P50, P99: r.P99,
	}
	for _, e := range s.Entries {
		n, took := e.Probes()
		d.Probes += n
		d.ProbeMs += float64(took) / float64(time.Millisecond)
	}
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(d)
	}
	t := newTable("SENT", "ANSWERED", "REFUSED", "UNKNOWN", "DOUBLED", "CROSSED", "LOST", "P50 MS", "P99 MS", "PROBES")
	t.Append([]string{
		fmt.Sprint(d.Sent), fmt.Sprint(d.Answered), fmt.Sprint(d.Refused), fmt.Sprint(d.Unknown), fmt.Sprint(d.Doubled),
		fmt.Sprint(d.Crossed), fmt.Sprint(d.Lost), fmt.Sprintf("%.2f", d.P50), fmt.Sprintf("%.2f", d.P99), fmt.Sprint(d.Probes),
	})
	t.Render()
	return nil
}
