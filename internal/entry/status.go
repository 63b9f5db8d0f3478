package entry

import (
	"context"
	"sort"

	"github.com/go-kit/kit/endpoint"
)

// statusJSON is the operators' picture of the system as this entry sees it.
type statusJSON struct {
	Entry    string          `json:"entry"`
	Settings uint64          `json:"settings"`
	Ring     uint64          `json:"ring"`
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
	State    string `json:"state"`
}

type statusService struct {
	Name     string   `json:"name"`
	Homes    []string `json:"homes"`
	Targets  int      `json:"targets"`
	Queued   int      `json:"queued"`
	InFlight int      `json:"inflight"`
}

func (e *Entry) statusEndpoint() endpoint.Endpoint {
	return func(context.Context, any) (any, error) {
		s := e.site.Load()
		out := statusJSON{
			Entry: e.cfg.File.Name, Settings: s.revision, Leaving: e.stopping.Load(),
			Entries: e.statusEntries(s), Services: []statusService{},
		}
		for name, sv := range s.services {
			addrs, _, _ := s.locate(name)
			out.Services = append(out.Services, sv.status(addrs))
		}
		sort.Slice(out.Services, func(i, j int) bool { return out.Services[i].Name < out.Services[j].Name })
		return out, nil
	}
}

func (e *Entry) statusEntries(s *site) []statusEntry {
	list := []statusEntry{}
	for _, m := range s.live {
		list = append(list, statusEntry{
			Name: m.Name, Boot: m.Boot, Place: m.Place, Callers: m.Caller,
			Settings: s.revision, Live: true, State: "alive",
		})
	}
	return list
}

func (s *service) status(homes []string) statusService {
	s.mu.Lock()
	defer s.mu.Unlock()
	queued, inFlight := s.chooser.Len()
	return statusService{Name: s.name, Homes: homes, Targets: len(s.list), Queued: queued, InFlight: inFlight}
}
