// Package cardamom defines the types that all packages of the serving system
// share: models, upstreams, instances, cells, fencing tokens and outcomes.
//
// # Usage
//
// The package holds no logic beyond conversions of these types. The decisions
// are made in the subpackages (cells, hold, claim, admit, route), and the
// programs under cmd/ wire them together:
//
//	id := cardamom.CellID("muse-models/psyrri-hall/0")
//	outcome := cardamom.NotRun
//	fmt.Println(id, outcome) // muse-models/psyrri-hall/0 not-run
package cardamom
