package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"

	"github.com/integrii/flaggy"
)

// explainView is an entry's view of one target.
type explainView struct {
	Target   string  `json:"target"`
	Chosen   bool    `json:"chosen"`
	Why      string  `json:"why"`
	InFlight int     `json:"inflight"`
	Limit    int     `json:"limit"`
	Until    string  `json:"until"`
	Slow     float64 `json:"slow"`
	Fail     float64 `json:"fail"`
}

func explainCommand() *command {
	var addr, service string
	var asJSON bool
	sub := flaggy.NewSubcommand("explain")
	sub.Description = "show why each target of a service would or would not be chosen, or how a request ended"
	sub.AddPositionalValue(&service, "SERVICE", 1, true, "name of the service, or id of a request if log files follow")
	files := addLogFileArgs(sub, 2)
	sub.String(&addr, "e", "entry", "host:port of an entry's operators' listener")
	sub.Bool(&asJSON, "j", "json", "print the entry's JSON response unchanged")
	sub.AdditionalHelpAppend = "Examples: plumpitch explain gown-catalogue --entry 127.0.0.1:8003\n" +
		"          plumpitch explain 9c41d07be2a35f68 gateway-1.log gateway-2.log"
	return &command{sub: sub, run: func(ctx context.Context) error {
		if paths := files(); len(paths) > 0 {
			return traceRequest(os.Stdout, service, paths)
		}
		path := "/v1/explain?name=" + url.QueryEscape(service)
		if asJSON {
			return printResponse(ctx, addr, path)
		}
		return showExplain(ctx, addr, path)
	}}
}

func showExplain(ctx context.Context, addr, path string) (err error) {
	body, err := requestEntry(ctx, http.MethodGet, addr, path)
	if err != nil {
		return err
	}
	var rows []explainView
	if err := json.Unmarshal(body, &rows); err != nil {
		return err
	}
	t := newTable("TARGET", "CHOSEN", "IN FLIGHT", "LIMIT", "SLOW", "FAIL", "WHY", "UNTIL")
	for _, r := range rows {
		t.Append([]string{
			r.Target, fmt.Sprint(r.Chosen), fmt.Sprint(r.InFlight), fmt.Sprint(r.Limit),
			fmt.Sprintf("%.1f", r.Slow), fmt.Sprintf("%.1f", r.Fail), r.Why, r.Until,
		})
	}
	t.Render()
	return nil
}
