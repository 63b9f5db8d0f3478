package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/load"
)

func loadCommand() *command {
	cfg := load.Config{Rate: 100, Timeout: 5 * time.Second, Seed: 1}
	var entries, direct, services string
	var asJSON bool
	seconds := 5
	sub := flaggy.NewSubcommand("load")
	sub.Description = "send a bounded load and check every response"
	sub.String(&entries, "e", "entries", "host:port of entries, separated by commas")
	sub.String(&direct, "d", "direct", "host:port of targets, to bypass the entries")
	sub.String(&services, "s", "services", "names of services, separated by commas")
	sub.Float64(&cfg.Rate, "r", "rate", "requests a second")
	sub.Int(&cfg.Requests, "n", "requests", "number of requests; 0 sends until --seconds have passed")
	sub.Int(&seconds, "t", "seconds", "seconds to send for")
	sub.Float64(&cfg.Writes, "w", "writes", "share of non-idempotent requests, 0 to 1")
	sub.Bool(&cfg.Keyless, "", "keyless", "send non-idempotent requests without idempotency keys")
	sub.Duration(&cfg.Timeout, "", "timeout", "maximum time to wait for one response")
	sub.UInt64(&cfg.Seed, "", "seed", "random seed of the arrival times")
	sub.Bool(&asJSON, "j", "json", "print one JSON object")
	sub.AdditionalHelpAppend = "Example: plumpitch load --entries 127.0.0.1:8001 --services gown-catalogue --rate 200 --seconds 5"
	return &command{sub: sub, run: func(ctx context.Context) error {
		cfg.Length = time.Duration(seconds) * time.Second
		cfg.Entries, cfg.Direct, cfg.Services = splitList(entries), splitList(direct), splitList(services)
		report, err := load.Run(ctx, cfg)
		if err != nil {
			return err
		}
		printReport(report, asJSON)
		if report.Crossed > 0 || report.Lost > 0 {
			return errors.Errorf("%d crossed, %d lost, first: %s", report.Crossed, report.Lost, report.Example)
		}
		return nil
	}}
}

// splitList splits the value of a comma-separated flag.
func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

// reportJSON is the JSON form of a load report.
type reportJSON struct {
	Sent     int     `json:"sent"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	Unknown  int     `json:"unknown"`
	Failed   int     `json:"failed"`
	Crossed  int     `json:"crossed"`
	Lost     int     `json:"lost"`
	P50      float64 `json:"p50ms"`
	P99      float64 `json:"p99ms"`
	P999     float64 `json:"p999ms"`
	Example  string  `json:"example,omitempty"`
}

func reportOf(r load.Report) reportJSON {
	ms := func(q float64) float64 { return float64(r.Latency.ValueAtQuantile(q)) / 1000 }
	return reportJSON{
		Sent: r.Sent, Answered: r.Answered, Refused: r.Refused, Unknown: r.Unknown, Failed: r.Failed,
		Crossed: r.Crossed, Lost: r.Lost, P50: ms(50), P99: ms(99), P999: ms(99.9), Example: r.Example,
	}
}

func printReport(r load.Report, asJSON bool) {
	j := reportOf(r)
	if asJSON {
		_ = json.NewEncoder(os.Stdout).Encode(j)
		return
	}
	fmt.Printf("%d requests, %d answered, %d refused, %d unknown, %d failed, %d crossed, %d lost\n",
		j.Sent, j.Answered, j.Refused, j.Unknown, j.Failed, j.Crossed, j.Lost)
	fmt.Printf("p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms\n", j.P50, j.P99, j.P999)
	if j.Example != "" {
		fmt.Println("first failure:", j.Example)
	}
}
