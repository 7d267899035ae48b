package proof_test

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"cardamomcourse.example/cardamom/fakes/ports"
)

// frontSettings are the settings of an instance without a platform.
func frontSettings() []byte {
	listen := make(map[string]string)
	for _, name := range []string{"entry", "ready", "addresses", "sync"} {
		address, err := ports.Free()
		Expect(err).NotTo(HaveOccurred())
		listen[name] = address
	}
	body, err := json.Marshal(map[string]any{"instance": "front-1", "data_centre": "x", "store": "127.0.0.1:1", "lease_ms": 900, "grace_ms": 1000, "listen": listen})
	Expect(err).NotTo(HaveOccurred())
	return body
}

// starting is a process that is reading its settings.
type starting struct {
	command *exec.Cmd
	pipe    string
	// settings is the end of the pipe that the process reads.
	settings *os.File
	output   *gbytes.Buffer
}

// startReading starts a program whose settings file is a pipe, and returns when it reads it.
func startReading(program string) *starting {
	p := &starting{pipe: filepath.Join(GinkgoT().TempDir(), "settings.jsonc"), output: gbytes.NewBuffer()}
	Expect(syscall.Mkfifo(p.pipe, 0o600)).To(Succeed())
	p.command = exec.Command(filepath.Join(programs, program), "serve", "--settings", p.pipe)
	p.command.Stdout, p.command.Stderr = p.output, p.output
	Expect(p.command.Start()).To(Succeed())
	DeferCleanup(func() { _ = p.command.Process.Kill() })
	p.settings = p.open()
	return p
}

// open opens the pipe for writing, which waits until the process reads it.
func (p *starting) open() *os.File {
	file, err := os.OpenFile(p.pipe, os.O_WRONLY, 0)
	Expect(err).NotTo(HaveOccurred())
	return file
}

// write passes the settings to the process.
func (p *starting) write(file *os.File, settings []byte) {
	_, err := file.Write(settings)
	Expect(err).NotTo(HaveOccurred())
	Expect(file.Close()).To(Succeed())
}

var _ = Describe("a signal while a process reads its settings", func() {
	It("doesn't end an instance if it asks for a reload, which follows", func() {
		p := startReading("cardfront")
		settings := frontSettings()
		Expect(p.command.Process.Signal(syscall.SIGHUP)).To(Succeed())
		p.write(p.settings, settings)
		Eventually(p.output, conditionTimeout).Should(gbytes.Say("event=started"))
		p.write(p.open(), settings)
		Eventually(p.output, conditionTimeout).Should(gbytes.Say("event=settings_reloaded"))
		Expect(p.command.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(p.command.Wait()).To(Succeed())
	})

	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		It("ends an instance in order: "+signal.String(), func() {
			p := startReading("cardfront")
			Expect(p.command.Process.Signal(signal)).To(Succeed())
			p.write(p.settings, frontSettings())
			Expect(p.command.Wait()).To(Succeed())
			Expect(bytes.Contains(p.output.Contents(), []byte("event=stopped"))).To(BeTrue())
		})
	}
})
