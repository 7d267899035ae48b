// Package proof holds the integration tests on real processes behind the
// fault-injecting proxy. It has no code of its own.
//
// # Usage
//
//	go test ./proof/
package proof
