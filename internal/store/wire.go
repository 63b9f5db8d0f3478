package store

type objectJSON struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

type putJSON struct {
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

type versionJSON struct {
	Version uint64 `json:"version"`
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
