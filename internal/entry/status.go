package entry

import (
	"context"
	"sort"

	"github.com/go-kit/kit/endpoint"
)

// statusJSON is this entry's view of the system, for operators.
type statusJSON struct {
	Entry    string          `json:"entry"`
	Settings uint64          `json:"settings"`
	Leaving  bool            `json:"leaving"`
	Entries  []statusEntry   `json:"entries"`
	Services []statusService `json:"services"`
}

type statusEntry struct {
	Name     string `json:"name"`
	Boot     uint64 `json:"boot"`
	Place    string `json:"place"`
	Callers  string `json:"callers"`
	Settings uint64 `json:"settings"`
	Live     bool   `json:"live"`
	Ready    bool   `json:"ready"`
	State    string `json:"state"`
}

type statusService struct {
	Name             string   `json:"name"`
	PreferredEntries []string `json:"homes"`
	Targets          int      `json:"targets"`
	Queued           int      `json:"queued"`
	InFlight         int      `json:"inflight"`
}

func (e *Entry) statusEndpoint() endpoint.Endpoint {
	return func(context.Context, any) (any, error) {
		s := e.snapshot.Load()
		out := statusJSON{
			Entry: e.cfg.File.Name, Settings: s.revision,
			Leaving: e.leaving.Load(), Entries: e.statusEntries(), Services: []statusService{},
		}
		for name, sv := range s.services {
			addrs, _, _ := s.locate(name)
			out.Services = append(out.Services, sv.status(addrs))
		}
		sort.Slice(out.Services, func(i, j int) bool { return out.Services[i].Name < out.Services[j].Name })
		return out, nil
	}
}

func (e *Entry) statusEntries() []statusEntry {
	list := []statusEntry{}
	for _, m := range e.members.View().Entries {
		list = append(list, statusEntry{
			Name: m.ID.Name, Boot: m.ID.Boot, Place: m.Place, Callers: m.CallerAddress,
			Settings: m.Revisions.Settings, Live: m.Serves(), Ready: m.Ready, State: m.State.String(),
		})
	}
	return list
}

func (s *service) status(preferred []string) statusService {
	s.mu.Lock()
	defer s.mu.Unlock()
	queued, inFlight := s.balancer.RequestCounts()
	return statusService{Name: s.name, PreferredEntries: preferred, Targets: len(s.targetList), Queued: queued, InFlight: inFlight}
}
