package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"plumpitch.example/plumpitch/internal/gateway"
)

// showGateway prints a gateway's view of itself, of the other gateways and of the
// targets.
func showGateway(ctx context.Context, addr string) (err error) {
	body, err := requestEntry(ctx, http.MethodGet, addr, gateway.PathStatus)
	if err != nil {
		return err
	}
	var s gateway.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return err
	}
	fmt.Printf("gateway %s, configuration %d confirmed %.1f s ago, targets %d confirmed %.1f s ago%s\n\n",
		s.Entry, s.ConfigVersion, s.ConfigAge, s.TargetsRevision, s.TargetsAge, conditionsText(s.Leaving, s.Overloaded, s.StoreUnavailable))
	showEvacuations(s)
	t := newTable("ENTRY", "STATE", "PLACE", "SINCE S", "CONFIG", "TARGETS", "RATE", "MARKS")
	for _, e := range s.Entries {
		t.Append([]string{
			e.Name, e.State, e.Place, fmt.Sprintf("%.1f", e.StateAge), fmt.Sprint(e.ConfigVersion), fmt.Sprint(e.TargetsRevision),
			fmt.Sprintf("%.0f", e.Rate), strings.TrimPrefix(conditionsText(false, e.Overloaded, e.StoreUnavailable), ", "),
		})
	}
	t.Render()
	fmt.Println()
	hosts := newTable("HOST", "OWNERS", "RATE")
	for _, h := range s.Hosts {
		hosts.Append([]string{h.Name, strings.Join(h.Owners, " "), fmt.Sprintf("%.0f", h.Rate)})
	}
	hosts.Render()
	showAccounts(s)
	for _, sv := range s.Services {
		fmt.Printf("\n%s: %d seek a target, %d at targets\n", sv.Name, sv.Pending, sv.InFlight)
		t := newTable("TARGET", "STATE", "FOR S", "PLACE", "IN FLIGHT", "OTHERS'", "PACE", "AGE S")
		for _, r := range sv.Targets {
			t.Append([]string{
				r.ID, r.State, fmt.Sprintf("%.1f", r.Until), r.Place, fmt.Sprint(r.InFlight), fmt.Sprint(r.OtherInFlight),
				fmt.Sprintf("%.2f", r.Pace), fmt.Sprintf("%.2f", r.LoadAge),
			})
		}
		t.Render()
	}
	return nil
}

// showAccounts prints the limited client accounts in use, if there are any.
func showAccounts(s gateway.Status) {
	if len(s.Accounts) == 0 {
		return
	}
	fmt.Println()
	if q := s.QuotaShare; q != nil {
		holder := cmp.Or(q.Holder, "none")
		fmt.Printf("limits of accounts: filled at %.2f by %s, in contact with %.2f of the entries, lease of %s seen %.1f s ago\n", q.Share, q.State, q.Contact, holder, q.Age)
	}
	t := newTable("ACCOUNT", "RATE", "BURST", "ISSUER", "SINCE S", "TOKENS", "BUCKET", "WAITING", "GRANTED", "LATE", "REFUSED", "LATE", "UNKNOWN")
	for _, a := range s.Accounts {
		bucket := ""
		if a.Bucket != nil {
			bucket = fmt.Sprintf("%.1f", a.Bucket.Tokens)
		}
		t.Append([]string{
			a.Name, fmt.Sprintf("%g", a.Rate), fmt.Sprintf("%g", a.Burst), a.Issuer, fmt.Sprintf("%.1f", a.Since), fmt.Sprint(a.Tokens), bucket,
			fmt.Sprint(a.Waiting), fmt.Sprint(a.Served), fmt.Sprint(a.ServedLate), fmt.Sprint(a.Refused), fmt.Sprint(a.RefusedLate), fmt.Sprint(a.GivenUp),
		})
	}
	t.Render()
}

// showEvacuations prints the evacuated failure domains, if there are any.
func showEvacuations(s gateway.Status) {
	if len(s.Evacuations) == 0 {
		return
	}
	t := newTable("EVACUATED", "KNOWN S", "TARGETS", "IN FLIGHT")
	for _, e := range s.Evacuations {
		t.Append([]string{e.Place, fmt.Sprintf("%.1f", e.Since), fmt.Sprint(e.Targets), fmt.Sprint(e.InFlight)})
	}
	t.Render()
	fmt.Printf("confirmed %.1f s ago\n\n", s.EvacuationsAge)
}

// conditionsText lists the abnormal conditions of a gateway, each after a comma.
func conditionsText(leaving, overloaded, storeUnavailable bool) (text string) {
	for _, c := range []struct {
		active bool
		name   string
	}{{leaving, "leaving"}, {overloaded, "strained"}, {storeUnavailable, "store lost"}} {
		if c.active {
			text += ", " + c.name
		}
	}
	return text
}
