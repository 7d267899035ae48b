package route

import (
	"strings"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/peers"
	"cardamomcourse.example/cardamom/policy"
	"cardamomcourse.example/cardamom/route/rank"
)

// DataCentreOf returns the data centre in a cell's ID, empty if the ID is malformed.
func DataCentreOf(cell cardamom.CellID) cardamom.DataCentre {
	parts := strings.Split(string(cell), "/")
	if len(parts) != 3 {
		return ""
	}
	return cardamom.DataCentre(parts[1])
}

// CellOf returns the service's cell to which the upstream belongs. Of the cells in
// the upstream's data centre, it is chosen by rendezvous hash.
func CellOf(service *policy.Service, upstream cardamom.Upstream) (cardamom.CellID, bool) {
	var local []cardamom.CellID
	for _, cell := range service.Cells() {
		if DataCentreOf(cell) == upstream.DataCentre {
			local = append(local, cell)
		}
	}
	if len(local) == 0 {
		return "", false
	}
	return rank.Order(string(upstream.ID), local)[0], true
}

// Followers returns the active instances that follow a cell: those in its data
// centre, or all if it has none.
func Followers(cell cardamom.CellID, active []peers.Member) []cardamom.InstanceID {
	var local, all []cardamom.InstanceID
	for _, member := range active {
		all = append(all, member.Instance().ID)
		if member.Instance().DataCentre == DataCentreOf(cell) {
			local = append(local, member.Instance().ID)
		}
	}
	if len(local) > 0 {
		return local
	}
	return all
}
