// Package proof holds the integration tests, which run real processes behind
// fault-injecting proxies. It has no code besides tests.
//
// # Usage
//
//	go test ./proof/
package proof
