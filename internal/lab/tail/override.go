package tail

import "plumpitch.example/plumpitch/pkg/pool"

// poolOverride changes the configuration of the balancers for one row.
type poolOverride func(*pool.Config)

func (t poolOverride) apply(cfg pool.Config) pool.Config {
	if t != nil {
		t(&cfg)
	}
	return cfg
}
