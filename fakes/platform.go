package fakes

import (
	"net/http"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/policy"
)

// PlatformOptions configure a platform. Addresses may end in port 0.
type PlatformOptions struct {
	TableAddress   string
	ListAddress    string
	WeightsAddress string
	ReadsPerSec    int
	WritesPerSec   int
	ListLag        time.Duration
	LoadsPerSec    float64
	LoadStreams    int
	LoadMBPerSec   float64
	// Document has the replicas allowed for each model, which the ground truth
	// checks.
	Document *policy.Document
}

// Platform is the platform's services.
type Platform struct {
	Table       *Table
	List        *List
	Weights     *Weights
	GroundTruth *GroundTruth
	Objects     *Objects

	table   *Server
	list    *Server
	weights *Server
}

// StartPlatform starts a platform.
func StartPlatform(options PlatformOptions) (*Platform, error) {
	p := &Platform{
		Table:   NewTable(options.ReadsPerSec, options.WritesPerSec),
		List:    NewList(options.ListLag),
		Weights: NewWeights(options.LoadsPerSec, options.LoadStreams, options.LoadMBPerSec),
		Objects: NewObjects(),
	}
	p.GroundTruth = NewGroundTruth(replicaLimitOf(options.Document), p.List)
	var err error
	if p.table, err = serve(options.TableAddress, p.Table.Handler()); err != nil {
		return nil, err
	}
	if p.list, err = serve(options.ListAddress, p.List.Handler()); err != nil {
		return nil, err
	}
	if p.weights, err = serve(options.WeightsAddress, p.weightsHandler()); err != nil {
		return nil, err
	}
	return p, nil
}

// replicaLimitOf returns a function that looks up the replicas allowed for a model.
func replicaLimitOf(document *policy.Document) func(model string) int {
	return func(name string) int {
		model, ok := document.Model(cardamom.ModelID(name))
		if !ok {
			return 0
		}
		return model.Profile().MaxReplicas()
	}
}

// weightsHandler serves the weight store, the object store and the ground truth.
func (p *Platform) weightsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/weights/", http.StripPrefix("/weights", p.Weights.Handler()))
	mux.Handle("/objects/", http.StripPrefix("/objects", p.Objects.Handler()))
	mux.Handle("/", p.GroundTruth.Handler())
	return mux
}

// TableAddress returns the table's host:port.
func (p *Platform) TableAddress() string { return p.table.Address() }

// ListAddress returns the list's host:port.
func (p *Platform) ListAddress() string { return p.list.Address() }

// WeightsAddress returns the host:port of the weight store, the object store and
// the ground truth.
func (p *Platform) WeightsAddress() string { return p.weights.Address() }

// Close stops the platform.
func (p *Platform) Close() {
	p.table.Close()
	p.list.Close()
	p.weights.Close()
}
