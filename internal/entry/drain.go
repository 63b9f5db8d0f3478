package entry

import (
	"context"
	"maps"
	"net/http"
	"strconv"

	"github.com/go-kit/kit/endpoint"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/store"
)

// drainKind is the kind of the store's drain objects. One that drains a target has
// the target's name, and its incarnation as the value. One that evacuates a place
// has the place's name, and evacuationValue as the value. The shared kind allows
// one call to list both.
const drainKind = "drain"

// evacuationValue is the value of an object that evacuates a place.
const evacuationValue = "place"

// drainState holds the targets and places that operators excluded from new work.
type drainState struct {
	targets map[string]uint64 // incarnations of drained targets, by name
	places  map[string]bool   // evacuated places
}

// includes reports whether a VM is drained. A later incarnation of a drained
// target isn't.
func (d drainState) includes(vm store.VM) bool {
	boot, ok := d.targets[vm.ID]
	return ok && boot == vm.Boot
}

func (d drainState) equal(o drainState) bool {
	return maps.Equal(d.targets, o.targets) && maps.Equal(d.places, o.places)
}

// parseDrains decodes drain objects. It ignores those with an invalid value.
func parseDrains(objects []store.Object) drainState {
	d := drainState{targets: make(map[string]uint64), places: make(map[string]bool)}
	for _, o := range objects {
		if string(o.Value) == evacuationValue {
			d.places[o.Name] = true
		} else if boot, err := strconv.ParseUint(string(o.Value), 10, 64); err == nil {
			d.targets[o.Name] = boot
		}
	}
	return d
}

// drainResponse reports whether a target is drained.
type drainResponse struct {
	Target  string `json:"target"`
	Boot    uint64 `json:"boot"`
	Drained bool   `json:"drained"`
}

func (e *Entry) drainEndpoint(do func(ctx context.Context, vm store.VM) error) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		name := request.(string)
		vm, err := e.findVM(ctx, name)
		if err != nil {
			return nil, err
		}
		if err := do(ctx, vm); err != nil {
			return nil, err
		}
		_, err = e.store.Get(ctx, drainKind, name)
		return drainResponse{name, vm.Boot, err == nil}, nil
	}
}

// drain writes a drain object for a target, and marks the target as leaving
// without waiting for the next read of the store. The object contains the
// incarnation, so that it doesn't drain the target after a restart.
func (e *Entry) drain(ctx context.Context, vm store.VM) (err error) {
	defer func() { err = errors.WithMessage(err, "drain "+vm.ID) }()
	if err := e.putDrain(ctx, vm.ID, strconv.FormatUint(vm.Boot, 10)); err != nil {
		return err
	}
	e.announceLeaving(vm.ID, vm.Boot)
	return nil
}

func (e *Entry) undrain(ctx context.Context, vm store.VM) (err error) {
	defer func() { err = errors.WithMessage(err, "undrain "+vm.ID) }()
	return e.deleteDrain(ctx, vm.ID)
}

// evacuateResponse reports whether a place is evacuated.
type evacuateResponse struct {
	Place     string `json:"place"`
	Evacuated bool   `json:"evacuated"`
	Targets   int    `json:"targets"` // in the place
}

func (e *Entry) evacuateEndpoint(do func(ctx context.Context, place string, targets int) error) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		place := request.(string)
		list, err := e.store.VMs(ctx)
		if err != nil {
			return nil, err
		}
		targets := 0
		for _, vm := range list {
			if vm.Place == place {
				targets++
			}
		}
		if err := do(ctx, place, targets); err != nil {
			return nil, err
		}
		_, err = e.store.Get(ctx, drainKind, place)
		return evacuateResponse{place, err == nil, targets}, nil
	}
}

// evacuate writes a drain object that excludes all targets of a place from new work
// until the place is restored. All entries apply it within about a second. It
// rejects a place without targets: the name is probably misspelled, and the
// intended place would stay in use.
func (e *Entry) evacuate(ctx context.Context, place string, targets int) (err error) {
	defer func() { err = errors.WithMessage(err, "evacuate "+place) }()
	if targets == 0 {
		return operatorError{http.StatusNotFound, errors.Errorf("name: found %q, expected a place with targets", place)}
	}
	return e.putDrain(ctx, place, evacuationValue)
}

// restore ends an evacuation.
func (e *Entry) restore(ctx context.Context, place string, _ int) (err error) {
	defer func() { err = errors.WithMessage(err, "restore "+place) }()
	return e.deleteDrain(ctx, place)
}

// putDrain writes a drain object unless it already has the value.
func (e *Entry) putDrain(ctx context.Context, name, value string) error {
	o, err := e.store.Get(ctx, drainKind, name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	if string(o.Value) == value {
		return nil
	}
	_, err = e.store.Put(ctx, drainKind, name, o.Version, []byte(value))
	return err
}

// deleteDrain deletes a drain object if it exists.
func (e *Entry) deleteDrain(ctx context.Context, name string) error {
	o, err := e.store.Get(ctx, drainKind, name)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return e.store.Delete(ctx, drainKind, name, o.Version)
}
