// Package simul plays a load on the deciding packages (pick, pace, plan, demand,
// retry) in virtual time: callers, instances, a coordinator and engines on one event
// queue, without network, goroutines or the machine's clock. A minute of 64 instances
// and 60 engines takes seconds, and a seed always gives the same result.
//
// It answers questions about bursts, busy and rare models, engines that leave and
// instances whose counters are old. It knows nothing of connections, broken bytes or
// the lease; those are covered by the soak and by package proof.
//
// # Usage
//
//	scenario, err := simul.Load("scenarios/load/busy.jsonc")
//	without, err := simul.Without("hold")
//	result := simul.Play(scenario, scenario.Seed(), without)
//	result.Print(os.Stdout)
package simul
