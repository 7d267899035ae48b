// Package fakes holds fakes of what the system runs on and talks to: the
// platform's table, list of machines, weight store and object store, model
// engines, plain services and a proxy that injects faults. They are for tests,
// experiments and dev mode.
//
// # Usage
//
//	platform, err := fakes.StartPlatform(fakes.PlatformOptions{...})
//	defer platform.Close()
//	engine, err := fakes.StartEngine(fakes.EngineOptions{Weights: platform.WeightsAddress(), ...})
//
// An upstream is an engine, which is a model server, or a process of a plain
// service, which has no models. The fakes record which models were loaded and
// which requests ran, so that tests can compare this ground truth with what the
// system reports.
package fakes
