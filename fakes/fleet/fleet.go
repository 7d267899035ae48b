package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"cardamomcourse.example/cardamom/fakes"
	"cardamomcourse.example/cardamom/fakes/ports"
	"cardamomcourse.example/cardamom/revs"
	"cardamomcourse.example/cardamom/roster"
	"cardamomcourse.example/cardamom/table"
)

// Options configure a fleet.
type Options struct {
	Deployment *Deployment
	// Programs is the folder with the programs cardd and cardfake.
	Programs string
	// Folder is where settings and logs are written.
	Folder string
	// Proxied puts a proxy in front of each upstream, the table and the list.
	Proxied bool
	// Extra are settings that replace the defaults in each instance's settings.
	Extra map[string]any
	// LogLevel is the instances' log level.
	LogLevel string
}

// readyTimeout is how long an instance may take to be ready.
const readyTimeout = 30 * time.Second

// platformAddresses is the first line that the platform's process prints.
type platformAddresses struct {
	Table   string `json:"table"`
	List    string `json:"list"`
	Weights string `json:"weights"`
}

// adminAddress is the first line that the proxies' process prints.
type adminAddress struct {
	Admin string `json:"admin"`
}

// Fleet is a running deployment.
type Fleet struct {
	options  Options
	platform platformAddresses
	// admin is the host:port at which the proxies' faults are set.
	admin string
	// proxies has the host:port of the proxy in front of each process by its ID.
	proxies         map[string]string
	chosenAddresses map[string]bool
	client          *http.Client

	// The maps below are by process ID.
	mu        sync.Mutex
	processes map[string]*Process
	// addresses has the host:port of each upstream and, for callers, of each instance.
	addresses map[string]string
	// peerAddresses has the host:port of each instance for other instances.
	peerAddresses map[string]string
	// dataCentres has the data centre of each instance.
	dataCentres map[string]string
}

// Start starts all processes, publishes the profiles and waits until every
// instance is ready.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	f := &Fleet{
		options: options, proxies: make(map[string]string), chosenAddresses: make(map[string]bool), processes: make(map[string]*Process),
		addresses: make(map[string]string), peerAddresses: make(map[string]string), dataCentres: make(map[string]string),
		client: &http.Client{Timeout: 10 * time.Second},
	}
	steps := []func(context.Context) error{f.startPlatform, f.startUpstreams, f.publish, f.startInstances, f.awaitReady}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) startPlatform(context.Context) error {
	profiles := filepath.Join(f.options.Folder, "profiles.jsonc")
	if err := os.WriteFile(profiles, f.options.Deployment.profiles, 0o644); err != nil {
		return eris.Wrap(err, "write profiles")
	}
	wire := f.options.Deployment.wire
	wire.Profiles = "profiles.jsonc"
	deployment, err := f.writeJSON("deployment.json", wire)
	if err != nil {
		return err
	}
	if err := f.launch("platform", "cardfake", []string{"platform", "--deployment", deployment}, &f.platform); err != nil {
		return err
	}
	if !f.options.Proxied {
		return nil
	}
	return f.startProxies()
}

// startProxies starts a proxy for the table, the list and every upstream.
func (f *Fleet) startProxies() error {
	targets := map[string]string{"table": f.platform.Table, "list": f.platform.List}
	for _, id := range f.upstreamIDs() {
		address, err := f.freeAddress()
		if err != nil {
			return err
		}
		targets[id] = address
	}
	args := []string{"proxy"}
	for id, target := range targets {
		front, err := f.freeAddress()
		if err != nil {
			return err
		}
		f.proxies[id] = front
		f.addresses[id] = target
		args = append(args, "--front", id+"="+front+"="+target)
	}
	var admin adminAddress
	if err := f.launch("proxy", "cardfake", args, &admin); err != nil {
		return err
	}
	f.admin = admin.Admin
	return nil
}

// freeAddress returns a loopback address that nothing listens on and that this fleet
// has not chosen before.
func (f *Fleet) freeAddress() (string, error) {
	for {
		address, err := ports.Free()
		if err != nil {
			return "", err
		}
		f.mu.Lock()
		chosen := f.chosenAddresses[address]
		f.chosenAddresses[address] = true
		f.mu.Unlock()
		if !chosen {
			return address, nil
		}
	}
}

func (f *Fleet) upstreamIDs() []string {
	var ids []string
	for _, o := range f.options.Deployment.Engines("") {
		ids = append(ids, o.ID)
	}
	for _, o := range f.options.Deployment.PlainServices("") {
		ids = append(ids, o.ID)
	}
	return ids
}

func (f *Fleet) startUpstreams(context.Context) error {
	for _, options := range f.options.Deployment.Engines(f.platform.Weights) {
		options.Listed, options.Address = f.proxies[options.ID], orDefault(f.addresses[options.ID], options.Address)
		if err := f.startUpstream("runner", options.ID, options); err != nil {
			return err
		}
	}
	for _, options := range f.options.Deployment.PlainServices(f.platform.Weights) {
		options.Listed, options.Address = f.proxies[options.ID], orDefault(f.addresses[options.ID], options.Address)
		if err := f.startUpstream("plain", options.ID, options); err != nil {
			return err
		}
	}
	return nil
}

// listenAddress is the first line that an upstream's process prints.
type listenAddress struct {
	Address string `json:"address"`
}

func (f *Fleet) startUpstream(kind, id string, options any) error {
	encoded, err := json.Marshal(options)
	if err != nil {
		return eris.Wrap(err, "encode options")
	}
	var listening listenAddress
	if err := f.launch(id, "cardfake", []string{kind, "--options", string(encoded)}, &listening); err != nil {
		return err
	}
	f.addresses[id] = listening.Address
	return nil
}

func (f *Fleet) publish(ctx context.Context) error {
	edit := revs.Edit{ID: "fleet-start", Editor: "fleet", Document: f.options.Deployment.profiles}
	_, err := revs.Publish(ctx, f.Store(), edit, time.Now())
	return err
}

// Store returns a client of the table that bypasses the proxy.
func (f *Fleet) Store() *table.HTTP { return table.NewHTTP(f.platform.Table, 5*time.Second) }

func (f *Fleet) startInstances(context.Context) error {
	for _, instance := range f.options.Deployment.Instances() {
		if err := f.AddInstance(instance); err != nil {
			return err
		}
	}
	return nil
}

// AddInstance starts an instance and puts it on the list.
func (f *Fleet) AddInstance(instance ProcessSpec) error {
	caller, err := f.freeAddress()
	if err != nil {
		return err
	}
	peer, err := f.freeAddress()
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.addresses[instance.ID], f.peerAddresses[instance.ID], f.dataCentres[instance.ID] = caller, peer, instance.DataCentre
	f.mu.Unlock()
	settings := map[string]any{
		"instance": instance.ID, "place": instance.DataCentre, "caller_address": caller, "peer_address": peer,
		"platform": map[string]any{"table": f.proxyOr("table", f.platform.Table), "list": f.proxyOr("list", f.platform.List)},
		"trace":    map[string]any{"share": 0}, "tls": map[string]any{"off": true}, "log_level": orDefault(f.options.LogLevel, "info"),
	}
	for key, value := range f.options.Extra {
		settings[key] = value
	}
	path, err := f.writeJSON(instance.ID+".json", settings)
	if err != nil {
		return err
	}
	if err := f.launch(instance.ID, "cardd", []string{"serve", "--settings", path}, nil); err != nil {
		return err
	}
	return f.addToList(instance)
}

func (f *Fleet) addToList(instance ProcessSpec) error {
	machine := roster.MachineWire{ID: instance.ID, DataCentre: instance.DataCentre, Address: f.addresses[instance.ID], Peer: f.peerAddresses[instance.ID]}
	return f.call(http.MethodPut, f.platform.List, "/instances", machine, nil)
}

func (f *Fleet) proxyOr(id, address string) string {
	if front, ok := f.proxies[id]; ok {
		return front
	}
	return address
}

func (f *Fleet) awaitReady(ctx context.Context) error {
	for _, instance := range f.options.Deployment.Instances() {
		if err := f.AwaitReady(ctx, instance.ID); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until an instance is ready.
func (f *Fleet) AwaitReady(ctx context.Context, id string) error {
	return f.Await(ctx, readyTimeout, id+" is ready", func() bool {
		response, err := f.client.Get("http://" + f.Address(id) + "/readyz")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// pollInterval is the pause between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// Await polls a condition until it holds or the limit has passed.
func (f *Fleet) Await(ctx context.Context, limit time.Duration, what string, holds func() bool) error {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if holds() {
			return nil
		}
		select {
		case <-limited.Done():
			return eris.Errorf("%s: condition not met within %v", what, limit)
		case <-ticker.C:
		}
	}
}

// Address returns the host:port of an upstream, or the host:port at which an
// instance serves callers.
func (f *Fleet) Address(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addresses[id]
}

// Process returns a started process.
func (f *Fleet) Process(id string) (*Process, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.processes[id]
	return p, ok
}

// Kill ends a process with SIGKILL and removes it from the list.
func (f *Fleet) Kill(id string) error {
	p, ok := f.Process(id)
	if !ok {
		return eris.Errorf("no process %s", id)
	}
	p.kill()
	return f.removeFromList(id)
}

func (f *Fleet) removeFromList(id string) error {
	return f.call(http.MethodPost, f.platform.List, "/remove?id="+id, nil, nil)
}

// Pause suspends a process with SIGSTOP.
func (f *Fleet) Pause(id string) error { return f.signal(id, syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (f *Fleet) Resume(id string) error { return f.signal(id, syscall.SIGCONT) }

// Terminate asks a process with SIGTERM to shut down gracefully.
func (f *Fleet) Terminate(id string) error { return f.signal(id, syscall.SIGTERM) }

func (f *Fleet) signal(id string, signal syscall.Signal) error {
	p, ok := f.Process(id)
	if !ok {
		return eris.Errorf("no process %s", id)
	}
	return p.signal(signal)
}

// Restart kills a process if it still runs and starts it again with the same
// arguments.
func (f *Fleet) Restart(id string) error {
	p, ok := f.Process(id)
	if !ok {
		return eris.Errorf("no process %s", id)
	}
	p.kill()
	dataCentre, isInstance := f.dataCentres[id]
	if isInstance {
		if err := f.launch(id, "cardd", p.args, nil); err != nil {
			return err
		}
		return f.addToList(ProcessSpec{ID: id, DataCentre: dataCentre})
	}
	var listening listenAddress
	return f.launch(id, "cardfake", p.args, &listening)
}

// SetProxyFaults replaces the faults of the proxy in front of an upstream, the
// table or the list.
func (f *Fleet) SetProxyFaults(id string, faults ...fakes.Fault) error {
	if faults == nil {
		faults = []fakes.Fault{}
	}
	return f.call(http.MethodPut, f.admin, "/faults?front="+id, faults, nil)
}

// SetTableFaults sets the faults of the table itself.
func (f *Fleet) SetTableFaults(faults fakes.TableFaults) error {
	return f.call(http.MethodPut, f.platform.Table, "/faults", faults, nil)
}

// TableCounts returns how many calls the table has received.
func (f *Fleet) TableCounts() (fakes.TableCounts, error) {
	var counts fakes.TableCounts
	err := f.call(http.MethodGet, f.platform.Table, "/counts", nil, &counts)
	return counts, err
}

// SetListFaults sets the faults of the list itself.
func (f *Fleet) SetListFaults(faults fakes.ListFaults) error {
	return f.call(http.MethodPut, f.platform.List, "/faults", faults, nil)
}

// MarkLeaving marks an upstream as leaving on the list.
func (f *Fleet) MarkLeaving(id string) error {
	return f.call(http.MethodPost, f.platform.List, "/leave?id="+id, nil, nil)
}

// SetWeightStoreSpeed sets the factor by which the weight store's speed is
// multiplied.
func (f *Fleet) SetWeightStoreSpeed(factor float64) error {
	return f.call(http.MethodPost, f.platform.Weights, fmt.Sprintf("/weights/slow?factor=%g", factor), nil, nil)
}

// GroundTruth returns the fakes' record of what was loaded and what ran.
func (f *Fleet) GroundTruth() (fakes.GroundTruthWire, error) {
	var truth fakes.GroundTruthWire
	err := f.call(http.MethodGet, f.platform.Weights, "/truth", nil, &truth)
	return truth, err
}

// Status decodes an instance's status.
func (f *Fleet) Status(id string, into any) error {
	return f.call(http.MethodGet, f.Address(id), "/v1/status", nil, into)
}

func (f *Fleet) call(method, address, path string, body, into any) error {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return eris.Wrap(err, "encode body")
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+address+path, reader)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	response, err := f.client.Do(request)
	if err != nil {
		return eris.Wrapf(err, "call %s", path)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("call %s: status %d", path, response.StatusCode)
	}
	if into == nil {
		return nil
	}
	return eris.Wrapf(json.NewDecoder(response.Body).Decode(into), "decode %s", path)
}

func (f *Fleet) launch(id, program string, args []string, firstLine any) error {
	log := filepath.Join(f.options.Folder, id+".log")
	p, err := launch(id, filepath.Join(f.options.Programs, program), args, log, firstLine)
	if p != nil {
		f.mu.Lock()
		f.processes[id] = p
		f.mu.Unlock()
	}
	return err
}

func (f *Fleet) writeJSON(name string, value any) (string, error) {
	path := filepath.Join(f.options.Folder, name)
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return "", eris.Wrap(err, "encode "+name)
	}
	return path, eris.Wrap(os.WriteFile(path, body, 0o644), "write "+name)
}

// Stop kills all processes.
func (f *Fleet) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.kill()
	}
}
