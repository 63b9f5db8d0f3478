package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"github.com/integrii/flaggy"
	"github.com/olekukonko/tablewriter"

	"plumpitch.example/plumpitch/internal/gateway"
)

// statusView is the part of an entry's status that the command prints.
type statusView struct {
	Entry    string `json:"entry"`
	Settings uint64 `json:"settings"`
	Entries  []struct {
		Name     string `json:"name"`
		Place    string `json:"place"`
		Callers  string `json:"callers"`
		Settings uint64 `json:"settings"`
		State    string `json:"state"`
		Ready    bool   `json:"ready"`
	} `json:"entries"`
	Services []struct {
		Name     string   `json:"name"`
		Homes    []string `json:"homes"`
		Targets  int      `json:"targets"`
		Queued   int      `json:"queued"`
		InFlight int      `json:"inflight"`
	} `json:"services"`
}

func statusCommand() *command {
	var addr, gatewayAddr string
	var asJSON bool
	sub := flaggy.NewSubcommand("status")
	sub.Description = "show entries, services and the settings revision of each entry"
	sub.String(&addr, "e", "entry", "host:port of an entry's operators' listener")
	sub.String(&gatewayAddr, "g", "gateway", "host:port of a gateway's metrics listener, instead of an entry")
	sub.Bool(&asJSON, "j", "json", "print the JSON response unchanged")
	sub.AdditionalHelpAppend = "Example: plumpitch status --entry 127.0.0.1:8003"
	return &command{sub: sub, run: func(ctx context.Context) error {
		switch {
		case gatewayAddr != "" && asJSON:
			return printResponse(ctx, gatewayAddr, gateway.PathStatus)
		case gatewayAddr != "":
			return showGateway(ctx, gatewayAddr)
		case asJSON:
			return printResponse(ctx, addr, "/v1/status")
		}
		return showStatus(ctx, addr)
	}}
}

func showStatus(ctx context.Context, addr string) (err error) {
	body, err := requestEntry(ctx, http.MethodGet, addr, "/v1/status")
	if err != nil {
		return err
	}
	var v statusView
	if err := json.Unmarshal(body, &v); err != nil {
		return err
	}
	fmt.Printf("entry %s, settings %d\n\n", v.Entry, v.Settings)
	t := newTable("ENTRY", "STATE", "READY", "PLACE", "SETTINGS", "CALLERS")
	for _, e := range v.Entries {
		t.Append([]string{e.Name, e.State, fmt.Sprint(e.Ready), e.Place, fmt.Sprint(e.Settings), e.Callers})
	}
	t.Render()
	fmt.Println()
	t = newTable("SERVICE", "TARGETS", "QUEUED", "IN FLIGHT", "HOMES")
	for _, s := range v.Services {
		t.Append([]string{s.Name, fmt.Sprint(s.Targets), fmt.Sprint(s.Queued), fmt.Sprint(s.InFlight), fmt.Sprint(s.Homes)})
	}
	t.Render()
	return nil
}

// newTable returns a table without borders and separators, which scripts can split at
// white space.
func newTable(columns ...string) *tablewriter.Table {
	t := tablewriter.NewWriter(os.Stdout)
	t.SetHeader(columns)
	t.SetAutoFormatHeaders(false)
	t.SetBorder(false)
	t.SetHeaderLine(false)
	t.SetColumnSeparator("")
	t.SetNoWhiteSpace(true)
	t.SetTablePadding("  ")
	t.SetAutoWrapText(false)
	t.SetHeaderAlignment(tablewriter.ALIGN_LEFT)
	t.SetAlignment(tablewriter.ALIGN_LEFT)
	return t
}
