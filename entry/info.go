package entry

import (
	"io"
	"math/rand/v2"
	"net/http"

	"github.com/emicklei/go-restful/v3"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/hold"
)

// addressesWire is the JSON form of an address response.
type addressesWire struct {
	Addresses []addressWire `json:"addresses"`
	TTLMS     int64         `json:"ttl_ms"`
	Issue     uint64        `json:"issue"`
}

type addressWire struct {
	Instance   string `json:"instance"`
	Address    string `json:"address"`
	DataCentre string `json:"place"`
}

// addresses returns the instances to which a caller may connect, in a random order.
// The caller uses the first and falls back to the others on failures.
func (s *Server) addresses(r *restful.Request, w *restful.Response) {
	view := s.options.Views.Load()
	if view.UnreadyReason != "" {
		refuse(w.ResponseWriter, cardamom.Refuse(cardamom.ReasonNotReady, view.UnreadyReason))
		return
	}
	name := r.QueryParameter("model")
	if name == "" {
		name = r.QueryParameter("service")
	}
	members, ok := view.Addresses(name, cardamom.DataCentre(r.QueryParameter("place")))
	if !ok {
		refuse(w.ResponseWriter, cardamom.Refuse(cardamom.ReasonUnknownModel, "no model or plain service "+name))
		return
	}
	wire := addressesWire{TTLMS: s.options.AddressTTL.Milliseconds(), Issue: view.Issue}
	for _, member := range members {
		instance := member.Instance()
		wire.Addresses = append(wire.Addresses, addressWire{
			Instance: string(instance.ID), Address: instance.CallerAddress, DataCentre: string(instance.DataCentre),
		})
	}
	rand.Shuffle(len(wire.Addresses), func(i, j int) {
		wire.Addresses[i], wire.Addresses[j] = wire.Addresses[j], wire.Addresses[i]
	})
	writeJSON(w.ResponseWriter, http.StatusOK, wire)
}

type modelsWire struct {
	Object string      `json:"object"`
	Data   []modelWire `json:"data"`
}

type modelWire struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Base   string `json:"base,omitempty"`
}

func (s *Server) models(_ *restful.Request, w *restful.Response) {
	wire := modelsWire{Object: "list", Data: []modelWire{}}
	if published := s.options.Views.Load().Published; published != nil {
		for _, id := range published.Document().Models() {
			model, _ := published.Document().Model(id)
			wire.Data = append(wire.Data, modelWire{ID: string(id), Object: "model", Base: string(model.Base())})
		}
	}
	writeJSON(w.ResponseWriter, http.StatusOK, wire)
}

func (s *Server) healthy(_ *restful.Request, w *restful.Response) {
	_, _ = io.WriteString(w.ResponseWriter, "ok\n")
}

func (s *Server) ready(_ *restful.Request, w *restful.Response) {
	view := s.options.Views.Load()
	switch {
	case view.UnreadyReason != "":
		refuse(w.ResponseWriter, cardamom.Refuse(cardamom.ReasonNotReady, view.UnreadyReason))
	case view.Leaving:
		refuse(w.ResponseWriter, cardamom.Refuse(cardamom.ReasonLeaving, "instance is leaving"))
	default:
		_, _ = io.WriteString(w.ResponseWriter, "ready\n")
	}
}

func (s *Server) vars(_ *restful.Request, w *restful.Response) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = io.WriteString(w.ResponseWriter, s.options.Metrics.String()+"\n")
}

// statusWire is the JSON form of an instance's status for operators.
type statusWire struct {
	Instance   string       `json:"instance"`
	DataCentre string       `json:"place"`
	Ready      bool         `json:"ready"`
	Unready    string       `json:"unready,omitempty"`
	Leaving    bool         `json:"leaving"`
	Revision   uint64       `json:"revision"`
	Members    []memberWire `json:"members"`
	// Claims are the holds on all claim shards.
	Claims []holdWire `json:"claims"`
	// Holds are the holds on the cells that the instance follows.
	Holds []holdWire `json:"holds"`
	// Cells are the cells that the instance follows, with the numbers of their models
	// and replicas.
	Cells []cellWire `json:"cells"`
}

type memberWire struct {
	ID         string `json:"id"`
	DataCentre string `json:"place"`
	Revision   uint64 `json:"revision"`
}

// holdWire is the JSON form of a hold: the instance that has it and the witness,
// the instance that keeps a second copy of the holder's state.
type holdWire struct {
	Resource string `json:"resource"`
	Holder   string `json:"holder"`
	Witness  string `json:"witness,omitempty"`
	Version  uint64 `json:"version"`
}

func holdWires(rows []hold.Row) []holdWire {
	wires := make([]holdWire, 0, len(rows))
	for _, row := range rows {
		wires = append(wires, holdWire{
			Resource: string(row.Resource()), Holder: string(row.Holder().ID()),
			Witness: string(row.Witness().ID()), Version: row.Version(),
		})
	}
	return wires
}

type cellWire struct {
	Cell     string `json:"cell"`
	Models   int    `json:"models"`
	Replicas int    `json:"replicas"`
}

func (s *Server) status(_ *restful.Request, w *restful.Response) {
	view := s.options.Views.Load()
	wire := statusWire{
		Instance: string(view.Self.ID), DataCentre: string(view.Self.DataCentre), Ready: view.UnreadyReason == "",
		Unready: view.UnreadyReason, Leaving: view.Leaving,
	}
	if view.Published != nil {
		wire.Revision = uint64(view.Published.Revision())
	}
	for _, member := range view.Active {
		wire.Members = append(wire.Members, memberWire{
			ID: string(member.Instance().ID), DataCentre: string(member.Instance().DataCentre), Revision: uint64(member.Revision()),
		})
	}
	wire.Claims = holdWires(view.ClaimHolds)
	wire.Holds = holdWires(view.CellHolds)
	for cell, models := range view.FollowedCells {
		status := cellWire{Cell: string(cell), Models: len(models)}
		for _, replicas := range models {
			status.Replicas += len(replicas)
		}
		wire.Cells = append(wire.Cells, status)
	}
	writeJSON(w.ResponseWriter, http.StatusOK, wire)
}
