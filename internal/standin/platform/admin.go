package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// adminRoutes adds the administration requests, which are not subject to faults.
func (p *Platform) adminRoutes(m *http.ServeMux) {
	m.HandleFunc("PUT /v1/admin/vms/{id}", p.servePutVM)
	m.HandleFunc("DELETE /v1/admin/vms/{id}", p.serveRemoveVM)
	m.HandleFunc("GET /v1/admin/faults", p.serveFaults)
	m.HandleFunc("PUT /v1/admin/faults", p.serveSetFaults)
	m.HandleFunc("GET /v1/admin/counts", p.serveCounts)
	m.HandleFunc("PUT /v1/admin/rollback", p.serveRollback)
}

func (p *Platform) servePutVM(w http.ResponseWriter, r *http.Request) {
	var vm vmJSON
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, "vm: "+err.Error(), http.StatusBadRequest)
		return
	}
	vm.ID = r.PathValue("id")
	if vm.State == "" {
		vm.State = Live
	}
	if vm.State != Live && vm.State != Leaving {
		http.Error(w, "state: found "+vm.State+", expected live or leaving", http.StatusBadRequest)
		return
	}
	p.PutVM(VM(vm))
	reply(w, vm)
}

func (p *Platform) serveRemoveVM(w http.ResponseWriter, r *http.Request) {
	p.RemoveVM(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveFaults(w http.ResponseWriter, _ *http.Request) {
	reply(w, encodeFaults(p.Faults()))
}

func (p *Platform) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var j faultsJSON
	if err := json.NewDecoder(r.Body).Decode(&j); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	f, err := decodeFaults(j)
	if err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	reply(w, encodeFaults(f))
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	reply(w, countsJSON(p.Counts()))
}

func (p *Platform) serveRollback(w http.ResponseWriter, r *http.Request) {
	to, err := strconv.ParseUint(r.URL.Query().Get("to"), 10, 64)
	if err != nil {
		http.Error(w, "to: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.Rollback(to)
	w.WriteHeader(http.StatusNoContent)
}
