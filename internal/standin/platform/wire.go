package platform

import "time"

type objectJSON struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

type listJSON struct {
	Objects []objectJSON `json:"objects"`
	Version uint64       `json:"version"`
}

type putJSON struct {
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

type versionJSON struct {
	Version uint64 `json:"version"`
}

type watchJSON struct {
	Object  objectJSON `json:"object"`
	Deleted bool       `json:"deleted"`
	Tag     string     `json:"tag"` // ETag of a read of the object
}

type vmJSON struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	Place   string `json:"place"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Boot    uint64 `json:"boot"`
	State   string `json:"state"`
}

type vmsJSON struct {
	VMs []vmJSON `json:"vms"`
}

type faultsJSON struct {
	Down   bool   `json:"down"`
	Delay  string `json:"delay"`
	Lose   int    `json:"lose"`
	Older  uint64 `json:"older"`
	Silent bool   `json:"silent"`
	Flap   string `json:"flap"`
	Lag    string `json:"lag"`
}

type countsJSON struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	VMs     uint64 `json:"vms"`
}

func encodeObject(o Object) objectJSON {
	return objectJSON(o)
}

func encodeFaults(f Faults) faultsJSON {
	return faultsJSON{
		Down:   f.Down,
		Delay:  f.Delay.String(),
		Lose:   f.LostResponses,
		Older:  f.ReadVersion,
		Silent: f.SilentWatches,
		Flap:   f.FlapInterval.String(),
		Lag:    f.VMListLag.String(),
	}
}

func decodeFaults(j faultsJSON) (f Faults, err error) {
	f = Faults{Down: j.Down, LostResponses: j.Lose, ReadVersion: j.Older, SilentWatches: j.Silent}
	if f.Delay, err = parseDuration(j.Delay); err != nil {
		return Faults{}, err
	}
	if f.FlapInterval, err = parseDuration(j.Flap); err != nil {
		return Faults{}, err
	}
	f.VMListLag, err = parseDuration(j.Lag)
	return f, err
}

func parseDuration(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	return time.ParseDuration(s)
}
