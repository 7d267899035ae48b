package relay

import "cardamomcourse.example/cardamom/memory"

// chargeResponse returns the charge of the response at hand, with so many bytes. The charge of an
// earlier attempt's response ends.
func (x *exchange) chargeResponse(bytes int64) *memory.Charge {
	if x.responseCharge != nil {
		x.responseCharge.Release()
	}
	x.responseCharge = x.server.Memory.Hold(bytes)
	return x.responseCharge
}

// releaseMemory ends the charges of the request.
func (x *exchange) releaseMemory() {
	for _, charge := range []*memory.Charge{x.bodyCharge, x.responseCharge} {
		if charge != nil {
			charge.Release()
		}
	}
}
