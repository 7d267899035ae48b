package proof_test

import (
	"context"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/fakes"
	"cardamomcourse.example/cardamom/fakes/caller"
	"cardamomcourse.example/cardamom/fakes/fleet"
)

const (
	// specTimeout bounds one spec.
	specTimeout = 90 * time.Second
	// conditionTimeout is how long a condition may take to hold on a busy machine.
	conditionTimeout = 30 * time.Second
	// claimShards is the number of claim shards that instances have by default.
	claimShards = 8
)

func TestProof(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proof")
}

var programs string

var _ = BeforeSuite(func() {
	programs = GinkgoT().TempDir()
	for _, name := range []string{"cardd", "cardfake", "cardfront"} {
		output, err := exec.Command("go", "build", "-o", filepath.Join(programs, name), "../cmd/"+name).CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(output))
	}
})

// site is a running deployment and a caller of it.
type site struct {
	*fleet.Fleet
	ctx        context.Context
	deployment *fleet.Deployment
	caller     *caller.Caller
	folder     string
}

func startSite(file string) *site { return startSiteWith(file, nil) }

// startSiteWith starts a site with extra settings for its instances.
func startSiteWith(file string, extra map[string]any) *site {
	deployment, err := fleet.Load("../examples/small/" + file)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), specTimeout)
	DeferCleanup(cancel)
	s := &site{ctx: ctx, deployment: deployment, folder: GinkgoT().TempDir()}
	settings := map[string]any{
		"peers":   map[string]any{"exchange_ms": 100, "suspect_ms": 1000},
		"engines": map[string]any{"report_ms": 50, "timeout_ms": 500},
	}
	maps.Copy(settings, extra)
	s.Fleet, err = fleet.Start(ctx, fleet.Options{
		Deployment: deployment, Programs: programs, Folder: s.folder, Proxied: true, Extra: settings,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Stop)
	DeferCleanup(s.printLogs)
	s.caller = caller.New(s.addresses(), "north")
	return s
}

// printLogs prints the instances' logs if the spec failed.
func (s *site) printLogs() {
	if !CurrentSpecReport().Failed() {
		return
	}
	files, _ := filepath.Glob(s.folder + "/entry-*.log")
	for _, file := range files {
		body, _ := os.ReadFile(file)
		GinkgoWriter.Printf("== %s\n%s\n", filepath.Base(file), body)
	}
}

func (s *site) addresses() []string {
	var addresses []string
	for _, instance := range s.deployment.Instances() {
		addresses = append(addresses, s.Address(instance.ID))
	}
	return addresses
}

func request(model string) caller.Request {
	return caller.Request{Model: model, Prompt: "for " + model, Tokens: 8, Stream: true, Deadline: 20 * time.Second}
}

// sendUntilServed repeats a request until it is served, as instances may be down.
func (s *site) sendUntilServed(r caller.Request) caller.Result {
	var result caller.Result
	err := s.Await(s.ctx, conditionTimeout, "an answer for "+r.Model, func() bool {
		result = s.caller.Send(s.ctx, r)
		if result.Outcome == cardamom.Served {
			return true
		}
		s.caller.Forget(r.Model + r.Service)
		return false
	})
	Expect(err).NotTo(HaveOccurred(), result.Reason)
	Expect(result.Complete).To(BeTrue())
	return result
}

// checkedTruth returns the ground truth after checking that no load exceeded the
// allowed replicas or memory, no key ran twice and no unload cut off a request.
func (s *site) checkedTruth() fakes.GroundTruthWire {
	truth, err := s.GroundTruth()
	Expect(err).NotTo(HaveOccurred())
	Expect(truth.OverReplicas).To(BeEmpty())
	Expect(truth.OverMemory).To(BeEmpty())
	Expect(truth.Doubled).To(BeEmpty())
	Expect(truth.Cut).To(BeEmpty())
	return truth
}

// status is the part of an instance's status that the specs read.
type status struct {
	Revision uint64 `json:"revision"`
	Cells    []struct {
		Cell string `json:"cell"`
	} `json:"cells"`
	Claims []struct {
		Resource string `json:"resource"`
		Holder   string `json:"holder"`
		Witness  string `json:"witness"`
	} `json:"claims"`
	Holds []struct {
		Resource string `json:"resource"`
		Holder   string `json:"holder"`
		Witness  string `json:"witness"`
	} `json:"holds"`
}

// holderAndWitness waits until a resource has a holder and a witness and returns
// their ids.
func (s *site) holderAndWitness(resource string) (holder, witness string) {
	err := s.Await(s.ctx, conditionTimeout, resource+" has a holder and a witness", func() bool {
		for _, instance := range s.deployment.Instances() {
			var status status
			if s.Status(instance.ID, &status) != nil {
				continue
			}
			for _, h := range append(status.Claims, status.Holds...) {
				if h.Resource == resource && h.Holder != "" && h.Witness != "" {
					holder, witness = h.Holder, h.Witness
					return true
				}
			}
		}
		return false
	})
	Expect(err).NotTo(HaveOccurred())
	return holder, witness
}

// cellOf returns the resource name of a model's first cell.
func (s *site) cellOf(model string) string {
	known, ok := s.deployment.Document().Model(cardamom.ModelID(model))
	Expect(ok).To(BeTrue())
	return "cell/" + string(known.Cells()[0])
}
