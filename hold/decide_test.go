package hold_test

import (
	"bufio"
	"os"
	"slices"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/hold"
)

// scriptVersion is the version of the rows in testdata/decide.txt.
const scriptVersion = 7

// scriptMembers are the members given in one line of testdata/decide.txt.
type scriptMembers struct {
	alive, ended []hold.Party
	steady       []string
}

func (m scriptMembers) Alive(p hold.Party) bool { return slices.Contains(m.alive, p) }

func (m scriptMembers) Ended(p hold.Party) bool { return slices.Contains(m.ended, p) }

func (m scriptMembers) Steady(id cardamom.InstanceID) bool {
	return slices.Contains(m.steady, string(id))
}

func (m scriptMembers) Current(id cardamom.InstanceID) hold.Party {
	for _, p := range m.alive {
		if p.ID() == id {
			return p
		}
	}
	return hold.Party{}
}

func party(text string) hold.Party {
	if text == "-" {
		return hold.Party{}
	}
	name, number, _ := strings.Cut(text, ":")
	incarnation, err := strconv.ParseUint(number, 10, 64)
	Expect(err).NotTo(HaveOccurred())
	return hold.NewParty(cardamom.InstanceID(name), cardamom.Incarnation(incarnation))
}

func list(text string) []string {
	if text == "-" {
		return nil
	}
	return strings.Split(text, ",")
}

func parties(text string) []hold.Party {
	var all []hold.Party
	for _, name := range list(text) {
		all = append(all, party(name))
	}
	return all
}

func describe(step hold.Step) string {
	if step.Kind() == hold.Keep {
		return "keep"
	}
	name := func(p hold.Party) string {
		if p.None() {
			return "-"
		}
		return string(p.ID()) + ":" + strconv.FormatUint(uint64(p.Incarnation()), 10)
	}
	loss := "lossless"
	encoded, err := step.Row().Encode()
	Expect(err).NotTo(HaveOccurred())
	written, err := hold.Decode(step.Row().Key(), encoded, scriptVersion+1)
	Expect(err).NotTo(HaveOccurred())
	if written.LossVersion() == scriptVersion+1 {
		loss = "lossy"
	}
	return strings.Join([]string{step.Kind().String(), name(step.Row().Holder()), name(step.Row().Witness()), loss}, " ")
}

var _ = Describe("a decision about a hold", func() {
	file, err := os.Open("testdata/decide.txt")
	if err != nil {
		panic(err)
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	for n := 1; scanner.Scan(); n++ {
		line := scanner.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		It("line "+strconv.Itoa(n)+": "+line, func() {
			fields := strings.Split(line, "|")
			for i := range fields {
				fields[i] = strings.TrimSpace(fields[i])
			}
			row := strings.Fields(fields[0])
			version := uint64(scriptVersion)
			if row[0] == "-" {
				version = 0
			}
			self, leaving := strings.CutSuffix(fields[5], "!")
			var ranked []cardamom.InstanceID
			for _, name := range list(fields[4]) {
				ranked = append(ranked, cardamom.InstanceID(name))
			}
			step := hold.Decide(
				hold.NewRow("cell/x", party(row[0]), party(row[1]), version, 0),
				hold.NewSelf(party(self), leaving), func() []cardamom.InstanceID { return ranked },
				scriptMembers{alive: parties(fields[1]), ended: parties(fields[2]), steady: list(fields[3])},
			)
			Expect(describe(step)).To(Equal(fields[6]))
		})
	}
})

var _ = Describe("an effective row", func() {
	row := hold.NewRow("cell/x", party("a:1"), party("b:1"), scriptVersion, 0)

	It("is held by the witness of an ended holder", func() {
		effective := hold.Effective(row, scriptMembers{ended: parties("a:1")})
		Expect(effective.Holder()).To(Equal(party("b:1")))
		Expect(effective.Witness().None()).To(BeTrue())
	})

	It("has no witness once the witness has ended", func() {
		effective := hold.Effective(row, scriptMembers{ended: parties("b:1")})
		Expect(effective.Holder()).To(Equal(party("a:1")))
		Expect(effective.Witness().None()).To(BeTrue())
	})

	It("is unchanged while both may be alive", func() {
		Expect(hold.Effective(row, scriptMembers{})).To(Equal(row))
	})
})
