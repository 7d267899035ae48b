// Package cardamom holds the nouns of the serving system: models, upstreams,
// instances, cells, fences and outcomes.
//
// # Usage
//
// The package has no behaviour of its own beyond small predicates. The
// decisions live in the subpackages (cells, hold, claim, admit, route), the
// programs under cmd/ wire them together:
//
//	id := cardamom.CellID("muse-models/psyrri-hall/0")
//	outcome := cardamom.NotRun
//	fmt.Println(id, outcome) // muse-models/psyrri-hall/0 not-run
package cardamom
