package host

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// graceMS is how long an instance may take to drain.
	graceMS = 3000
	// leaseMS is how long a lease lasts.
	leaseMS = 900
)

// RequestTimeout bounds a caller's request and is the deadline in its header.
const RequestTimeout = 10 * time.Second

// Instance is one process of the system under test.
type Instance struct {
	name         string
	program      string
	settingsPath string
	logPath      string
	// EntryAddress is the host:port at which the instance serves callers.
	EntryAddress string
	// Source is the address from which it connects to upstreams.
	Source string
	// ReadyAddress is the host:port of its readiness check.
	ReadyAddress   string
	lookupAddress  string
	metricsAddress string
	// openFiles limits the descriptors of the process, 0 for no limit of its own.
	openFiles int
	cmd       *exec.Cmd
	done      chan struct{}
}

// Site is a deployment on loopback: a fake store, fake upstreams and instances,
// which are processes of the program under test.
type Site struct {
	Store *Store
	// StoreLink is the proxy in front of the store, nil without LinkStore.
	StoreLink *Link
	Upstreams []*Upstream
	Instances []*Instance
	// cuts are the faults between instances and all upstreams, by the instance's source.
	cuts   map[string]LinkFault
	folder string
	client *http.Client
}

// SiteOptions configure a site.
type SiteOptions struct {
	// Program is the path of the program under test.
	Program string
	// Folder is where the instances' settings and logs are written.
	Folder string
	// Instances is how many instances of the program are started.
	Instances int
	Upstreams []UpstreamSpec
	// Config is the published configuration, such as one that the function Config
	// returns.
	Config []byte
	// LinkStore puts a Link, a fault-injecting TCP proxy, in front of the store.
	LinkStore bool
	// Unfenced tells the instances that engines accept orders with an older fencing
	// token.
	Unfenced bool
	// SharedSchedule makes the instances share one schedule for each upstream.
	SharedSchedule bool
	// Era is what the store sends as its era, empty for a store that has none.
	Era string
	// Settings are settings of the instances in addition to the usual ones.
	Settings map[string]any
	// OpenFiles limits the descriptors of each instance's process, 0 for the limit of this
	// process.
	OpenFiles int
	// KeyMaxAge is the instances' setting keys.max_age_ms, 0 for none.
	KeyMaxAge time.Duration
}

// NewSite starts the fakes and the processes.
func NewSite(options SiteOptions) (*Site, error) {
	s := &Site{cuts: make(map[string]LinkFault), Store: NewStore(), folder: options.Folder, client: &http.Client{Timeout: RequestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	s.Store.SetEra(options.Era)
	s.Store.Put("op", "config", options.Config)
	for _, spec := range options.Upstreams {
		s.Upstreams = append(s.Upstreams, NewUpstream(s.Store, spec))
	}
	address := s.Store.Address()
	if options.LinkStore {
		link, err := NewLink(address)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.StoreLink, address = link, link.Address()
	}
	for n := range options.Instances {
		instance, err := s.newInstance(fmt.Sprintf("front-%d", n+1), fmt.Sprintf("127.0.1.%d", n+1), address, options)
		if err != nil {
			s.Close()
			return nil, err
		}
		instance.openFiles = options.OpenFiles
		s.Instances = append(s.Instances, instance)
		if err := instance.Start(); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// Start starts the process.
func (i *Instance) Start() error {
	file, err := os.OpenFile(i.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer file.Close()
	i.cmd = exec.Command(i.program, "serve", "--settings", i.settingsPath)
	if i.openFiles > 0 {
		// A process can't lower the limit of another one before that begins to run, so a
		// shell does, which the instance replaces.
		i.cmd = exec.Command("/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(i.openFiles), i.program, "serve", "--settings", i.settingsPath)
	}
	i.cmd.Stdout, i.cmd.Stderr = file, file
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", i.name)
	}
	i.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(i.cmd, i.done)
	return nil
}

// Signal sends a signal to the instance's process.
func (i *Instance) Signal(signal syscall.Signal) error {
	return eris.Wrapf(i.cmd.Process.Signal(signal), "signal %s", i.name)
}

// Upgrade makes the instance run another build from its next start on.
func (i *Instance) Upgrade(program string) { i.program = program }

// Done returns a channel that is closed when the process has ended.
func (i *Instance) Done() <-chan struct{} { return i.done }

// Name returns the instance's name.
func (i *Instance) Name() string { return i.name }

// Log returns the instance's output so far.
func (i *Instance) Log() string {
	body, err := os.ReadFile(i.logPath)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

// IsReady reports whether the instance's readiness check answers 200.
func (s *Site) IsReady(i *Instance) bool {
	response, err := s.client.Get("http://" + i.ReadyAddress + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Metrics returns the instance's metrics as text.
func (s *Site) Metrics(i *Instance) (string, error) {
	response, err := s.client.Get("http://" + i.metricsAddress + "/metrics")
	if err != nil {
		return "", eris.Wrap(err, "get metrics")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), eris.Wrap(err, "read metrics")
}

// Lookup asks an instance for the addresses at which callers reach the instances.
func (s *Site) Lookup(i *Instance) ([]string, error) {
	response, err := s.client.Get("http://" + i.lookupAddress + "/lookup?" + url.Values{"name": {"h.example"}, "region": {"r"}, "zone": {"x"}}.Encode())
	if err != nil {
		return nil, eris.Wrap(err, "look up")
	}
	defer response.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
		// TTL is decoded only to check that it is a number.
		TTL float64 `json:"ttlS"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, eris.Wrap(err, "decode addresses")
	}
	return answer.Addresses, nil
}

// Request is what a caller sends.
type Request struct {
	ID    string
	Path  string
	Model string
	// Prefix lists the parts of the prompt, empty to send none.
	Prefix string
	// Keys are the values of the header with the key of the caller's organisation, and
	// Organisation what the caller claims in the header that is for upstreams.
	Keys         []string
	Organisation string
	// Resumes and LastEventID name the stream that the caller takes up and the last event
	// that it has, empty to send neither.
	Resumes     string
	LastEventID string
	Body        string
	// Deadline is how long the caller waits, RequestTimeout if it is 0.
	Deadline time.Duration
	// Address is the host:port to connect to.
	Address string
}

// Response is what a caller received, complete or not.
type Response struct {
	Status int
	Body   string
	// Sealed reports whether the response has the header Server-Seal, which only
	// upstreams set.
	Sealed bool
	// ID is the response's Request-Id.
	ID         string
	RetryAfter time.Duration
	// Upstream is the upstream that signed it, and RateLimited means that it names a rate
	// limit.
	Upstream    string
	RateLimited bool
	// Leaving means that it says that its upstream leaves.
	Leaving bool
	// Complete reports whether the body was read to its end.
	Complete bool
}

// Session is a caller that reuses its connections, unlike Site.Send.
type Session struct {
	client *http.Client
}

// NewSession returns a caller that has no connections yet.
func (s *Site) NewSession() *Session {
	return &Session{client: &http.Client{Timeout: RequestTimeout, Transport: &http.Transport{}}}
}

// Close closes the caller's connections.
func (s *Session) Close() { s.client.CloseIdleConnections() }

// Send sends a request over an open connection if there is one.
func (s *Session) Send(ctx context.Context, request Request) (Response, error) {
	return send(ctx, s.client, request)
}

// Send sends a request over a new connection.
func (s *Site) Send(ctx context.Context, request Request) (Response, error) {
	return send(ctx, s.client, request)
}

func send(ctx context.Context, client *http.Client, request Request) (Response, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+request.Address+request.Path, strings.NewReader(request.Body))
	if err != nil {
		return Response{}, eris.Wrap(err, "build request")
	}
	httpRequest.Host = "h.example"
	httpRequest.Header.Set("Request-Id", request.ID)
	httpRequest.Header.Set("Deadline-Ms", strconv.FormatInt(cmp.Or(request.Deadline, RequestTimeout).Milliseconds(), 10))
	if request.Model != "" {
		httpRequest.Header.Set("Model", request.Model)
		httpRequest.Header.Set(tokensHeader, "100,20")
	}
	if len(request.Keys) > 0 {
		httpRequest.Header[keyHeader] = request.Keys
	}
	if request.Organisation != "" {
		httpRequest.Header.Set(organisationHeader, request.Organisation)
	}
	if request.Prefix != "" {
		httpRequest.Header.Set("Prompt-Prefix", request.Prefix)
	}
	if request.Resumes != "" {
		httpRequest.Header.Set("Resumes", request.Resumes)
	}
	if request.LastEventID != "" {
		httpRequest.Header.Set("Last-Event-Id", request.LastEventID)
	}
	// Without GetBody the HTTP client does not retry a failed request by itself.
	httpRequest.GetBody = nil
	response, err := client.Do(httpRequest)
	if err != nil {
		return Response{}, eris.Wrap(err, "send")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	got := Response{Status: response.StatusCode, Body: string(body), Sealed: response.Header.Get("Server-Seal") != "", Complete: err == nil, ID: response.Header.Get("Request-Id")}
	got.Leaving = response.Header.Get(leavingHeader) == "1"
	got.Upstream, got.RateLimited = strings.TrimPrefix(response.Header.Get("Server-Seal"), "seal."), response.Header.Get(rateLimitHeader) != ""
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		got.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return got, nil
}

// Add adds an upstream, which instances that are cut off don't reach either.
func (s *Site) Add(upstream *Upstream) {
	s.Upstreams = append(s.Upstreams, upstream)
	for source, fault := range s.cuts {
		if upstream.link != nil {
			// Without its filter a new connection is accepted and silent instead of hanging.
			_ = upstream.link.Cut(source, fault)
		}
	}
}

// CutOff sets a fault between an instance and all upstreams that have a Link. NoLinkFault
// ends it.
func (s *Site) CutOff(instance *Instance, fault LinkFault) error {
	s.cuts[instance.Source] = fault
	if fault == NoLinkFault {
		delete(s.cuts, instance.Source)
	}
	for _, upstream := range s.Upstreams {
		if upstream.link != nil {
			if err := upstream.link.Cut(instance.Source, fault); err != nil {
				return err
			}
		}
	}
	return nil
}

// Runs returns how often each request ran, by request ID and summed over the
// upstreams.
func (s *Site) Runs() map[string]int {
	runs := make(map[string]int)
	for _, upstream := range s.Upstreams {
		for _, run := range upstream.Runs() {
			runs[run.ID]++
		}
	}
	return runs
}

// Close kills the processes that the site started and stops the upstreams and the
// store. StoreLink stays open.
func (s *Site) Close() {
	for _, instance := range s.Instances {
		if instance.done != nil {
			_ = instance.Signal(syscall.SIGKILL)
			<-instance.done
		}
	}
	for _, upstream := range s.Upstreams {
		upstream.Close()
	}
	s.Store.Close()
}
