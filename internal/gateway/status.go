package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/slot"
)

// PathStatus is the path of the status on the listener of the metrics.
const PathStatus = "/status"

// Status is the current state of a gateway, for operators.
type Status struct {
	Entry            string          `json:"entry"`
	Boot             uint64          `json:"boot"`
	ConfigVersion    uint64          `json:"version"`  // of the configuration in force, 0 for none
	ConfigAge        float64         `json:"age"`      // seconds since the store confirmed that version
	Epoch            uint64          `json:"epoch"`    // of the store: how often it was restored from a copy
	TargetsRevision  uint64          `json:"revision"` // of the last change of the targets
	TargetsAge       float64         `json:"fresh"`    // seconds since the store confirmed the targets
	EvacuationsAge   float64         `json:"marked"`   // seconds since the store confirmed the evacuations
	StoreUnavailable bool            `json:"shut"`     // the store doesn't serve this entry
	Leaving          bool            `json:"leaving"`
	Overloaded       bool            `json:"strained"`
	Entries          []EntryStatus   `json:"entries"`
	Hosts            []HostStatus    `json:"hosts"`
	Services         []ServiceStatus `json:"services"`
	// Evacuations are the failure domains that get no requests.
	Evacuations []EvacuationStatus `json:"evacuations"`
	// Accounts are the limited client accounts in use at this entry, and their buckets.
	Accounts []AccountStatus `json:"accounts"`
	// QuotaShare is nil without accounts that have limits, and without a bound for them.
	QuotaShare *QuotaShareStatus `json:"quotaShare,omitempty"`
}

// EvacuationStatus is a failure domain that gets no requests.
type EvacuationStatus struct {
	Place    string  `json:"place"`
	Revision uint64  `json:"revision"` // of the evacuation in the store
	Since    float64 `json:"since"`    // seconds since this entry received the evacuation
	Targets  int     `json:"targets"`  // in the domain
	InFlight int     `json:"flying"`   // requests of this entry still in flight there
}

// HostStatus is a host with its owners, the entries that its callers are sent to.
type HostStatus struct {
	Name   string   `json:"name"`
	Owners []string `json:"owners"`
	Rate   float64  `json:"rate"` // requests per second at all entries
}

// EntryStatus is another entry.
type EntryStatus struct {
	Name             string  `json:"name"`
	Place            string  `json:"place"`
	Front            string  `json:"front"`
	Live             bool    `json:"live"`
	State            string  `json:"state"`
	StateAge         float64 `json:"since"`    // seconds since this entry received the state
	ConfigVersion    uint64  `json:"version"`  // of its configuration as it last reported it to this entry, 0 if never
	TargetsRevision  uint64  `json:"revision"` // of its targets, reported likewise
	Overloaded       bool    `json:"strained"`
	StoreUnavailable bool    `json:"shut"`
	Rate             float64 `json:"rate"` // requests per second, for hosts whose rates it reports to this entry
}

// ServiceStatus is a service with its targets.
type ServiceStatus struct {
	Name            string         `json:"name"`
	Pending         int            `json:"seeking"` // pending requests, without a target
	InFlight        int            `json:"flying"`  // requests in flight
	BudgetAvailable float64        `json:"saved"`   // retries and hedges that the budget has saved up
	Targets         []TargetStatus `json:"targets"`
}

// TargetStatus is the state of a target as this entry sees it.
type TargetStatus struct {
	ID            string  `json:"id"`
	Address       string  `json:"address"`
	Place         string  `json:"place"`
	State         string  `json:"state"`
	Until         float64 `json:"until"` // minimum seconds until the state ends
	InFlight      int     `json:"inflight"`
	OtherInFlight int     `json:"foreign"` // requests of other entries in flight, by the last load report
	Pace          float64 `json:"pace"`    // service time as a multiple of the baseline; 0 without a load report
	LoadAge       float64 `json:"age"`     // seconds since the load report
	// LeavingFor is the time in seconds since this entry learned from a response that the
	// target is leaving; nil if it has not.
	LeavingFor *float64 `json:"leaves,omitempty"`
	// Limit is the request rate that the target accepts from all entries together; nil if
	// it reports no limit.
	Limit *LimitStatus `json:"limit,omitempty"`
}

// LimitStatus is the limit that a target reports.
type LimitStatus struct {
	Rate  float64 `json:"rate"`  // requests per second, from all entries
	Since float64 `json:"since"` // seconds since this entry first received a limit
}

// statusRequest asks the control loop for the status.
type statusRequest struct{ reply chan Status }

func (m statusRequest) apply(now time.Time, c *control) { m.reply <- c.status(now) }

func (c *control) status(now time.Time) Status {
	s := Status{
		Entry: c.gateway.self.Name, Boot: c.gateway.self.Boot,
		ConfigVersion: uint64(c.config.Version), ConfigAge: c.age(now, resourceConfig).Seconds(),
		Epoch: c.targets.Revision().Epoch(), TargetsRevision: c.targets.LastChange().Position(), TargetsAge: c.age(now, resourceTargets).Seconds(),
		EvacuationsAge: c.age(now, resourceEvacuations).Seconds(), Evacuations: []EvacuationStatus{},
		StoreUnavailable: c.storeUnavailable, Leaving: c.gateway.leaving.Load(), Overloaded: c.overload.overloaded(now),
		Entries: []EntryStatus{}, Hosts: []HostStatus{}, Services: []ServiceStatus{}, Accounts: c.gateway.quotas.status(now),
		QuotaShare: c.quotaShareStatus(),
	}
	for e := range c.members.Entries() {
		if e.ID.Name != s.Entry {
			s.Entries = append(s.Entries, c.entryStatus(now, e))
		}
	}
	for host, owners := range c.gateway.view.Load().owners {
		n, _ := c.gossipedCounts.Get(owner.HostID(host))
		h := HostStatus{Name: host, Owners: []string{}, Rate: n.Rate}
		for _, e := range owners {
			h.Owners = append(h.Owners, e.Name)
		}
		s.Hosts = append(s.Hosts, h)
	}
	slices.SortFunc(s.Hosts, func(a, b HostStatus) int { return cmp.Compare(a.Name, b.Name) })
	for name, sv := range c.services {
		s.Services = append(s.Services, sv.status(now, name))
	}
	slices.SortFunc(s.Services, func(a, b ServiceStatus) int { return cmp.Compare(a.Name, b.Name) })
	for place, evacuation := range c.effectiveEvacuations(now) {
		s.Evacuations = append(s.Evacuations, evacuationStatus(s.Services, EvacuationStatus{
			Place: place, Revision: evacuation.Revision.Position(), Since: now.Sub(c.evacuationSeen[place]).Seconds(),
		}))
	}
	slices.SortFunc(s.Evacuations, func(a, b EvacuationStatus) int { return cmp.Compare(a.Place, b.Place) })
	return s
}

// evacuationStatus adds the targets of an evacuated failure domain and their requests in
// flight.
func evacuationStatus(services []ServiceStatus, e EvacuationStatus) EvacuationStatus {
	for _, s := range services {
		for _, t := range s.Targets {
			if t.Place == e.Place {
				e.Targets++
				e.InFlight += t.InFlight
			}
		}
	}
	return e
}

func (c *control) entryStatus(now time.Time, e member.Entry) EntryStatus {
	s := EntryStatus{
		Name: e.ID.Name, Place: e.Place, Front: e.CallerAddress, Live: e.State == member.Alive, State: e.State.String(),
		StateAge: now.Sub(e.Since).Seconds(), ConfigVersion: e.Revisions.Settings, TargetsRevision: roster.Revision(e.Revisions.Targets).Position(), Overloaded: e.Overloaded, StoreUnavailable: e.StoreUnavailable,
	}
	for _, hostRate := range c.rateReports[s.Name].rates {
		s.Rate += hostRate.Rate
	}
	return s
}

func (s *service) status(now time.Time, name string) ServiceStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := ServiceStatus{Name: name, BudgetAvailable: s.budget.Available(), Targets: []TargetStatus{}}
	out.Pending, out.InFlight = s.balancer.RequestCounts()
	for _, r := range s.balancer.Explain(now) {
		out.Targets = append(out.Targets, targetStatus(now, r))
	}
	return out
}

func targetStatus(now time.Time, r slot.TargetStatus) TargetStatus {
	t := TargetStatus{
		ID: r.ID, Address: r.Address, Place: r.Place, State: string(r.State), InFlight: r.InFlight, OtherInFlight: r.OtherInFlight,
	}
	if !r.Until.IsZero() {
		t.Until = max(r.Until.Sub(now).Seconds(), 0)
	}
	if !r.LeavingSince.IsZero() {
		leavingFor := now.Sub(r.LeavingSince).Seconds()
		t.LeavingFor = &leavingFor
	}
	if r.HasLimit {
		t.Limit = &LimitStatus{Rate: r.Limit, Since: now.Sub(r.LimitedSince).Seconds()}
	}
	if r.LoadKnown {
		t.Pace, t.LoadAge = r.Pace, r.LoadAge.Seconds()
	}
	return t
}

// Status returns the state of this gateway.
func (g *Gateway) Status(ctx context.Context) (s Status, err error) {
	request := statusRequest{reply: make(chan Status, 1)}
	g.control.enqueue(ctx, request)
	select {
	case s = <-request.reply:
		return s, nil
	case <-ctx.Done():
		return s, errors.WithMessage(ctx.Err(), "control")
	}
}

// operatorHandler serves metrics and status.
func (g *Gateway) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", g.instruments.Handler)
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, r *http.Request) {
		s, err := g.Status(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(s); err != nil {
			g.log.WithError(err).Debug("could not write the status")
		}
	})
	return mux
}
