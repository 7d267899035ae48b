package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"cardamomcourse.example/cardamom/sleep"
)

// runFault injects one fault of the scenario at each of its times.
func (e *experiment) runFault(ctx context.Context, wire faultWire) {
	if !sleep.For(ctx, time.Duration(wire.AtMS)*time.Millisecond) {
		return
	}
	for n := range max(wire.Times, 1) {
		if n > 0 && !sleep.For(ctx, time.Duration(wire.EveryMS)*time.Millisecond) {
			return
		}
		if err := e.injectFault(wire); err != nil {
			fmt.Fprintln(os.Stderr, "fault", wire.Do, wire.Target, "failed:", err)
		}
	}
}

func (e *experiment) injectFault(wire faultWire) error {
	switch wire.Do {
	case "kill":
		return e.fleet.Kill(wire.Target)
	case "pause":
		return e.fleet.Pause(wire.Target)
	case "resume":
		return e.fleet.Resume(wire.Target)
	case "restart":
		return e.fleet.Restart(wire.Target)
	case "terminate":
		return e.fleet.Terminate(wire.Target)
	case "proxy":
		return e.fleet.SetProxyFaults(wire.Target, wire.Proxy...)
	case "table":
		return e.fleet.SetTableFaults(wire.Table)
	case "list":
		return e.fleet.SetListFaults(wire.List)
	case "weights":
		return e.fleet.SetWeightStoreSpeed(wire.Factor)
	case "leave":
		return e.fleet.MarkLeaving(wire.Target)
	default:
		return fmt.Errorf("unknown fault %q", wire.Do)
	}
}
