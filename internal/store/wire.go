package store

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

type changeJSON struct {
	Object  objectJSON `json:"object"`
	Deleted bool       `json:"deleted"`
	Tag     string     `json:"tag"`
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
