// Package fakes holds stand-ins for what surrounds the system: the platform's
// table, list, weight store and object store, model engines, plain services and
// a proxy that injects faults. They are for tests, experiments and dev mode.
//
// # Usage
//
//	platform, err := fakes.StartPlatform(fakes.PlatformOptions{...})
//	defer platform.Close()
//	runner, err := fakes.StartRunner(fakes.RunnerOptions{Weights: platform.Weights(), ...})
//
// The stand-ins keep the only truth of what was loaded and what ran.
package fakes
