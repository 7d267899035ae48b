package logs_test

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/logs"
)

// update makes the test write docs/LOGS.md.
var update = flag.Bool("update", false, "record golden files anew")

const (
	// root is the path of the repository.
	root = ".."
	// page is the path of the generated list of events and fields.
	page = root + "/docs/LOGS.md"
)

var (
	// loggerName matches the names of variables and fields that hold loggers.
	loggerName = regexp.MustCompile(`(?i)^(log|logger)$`)
	// levels are the methods that write a log line.
	levels = []string{"Trace", "Debug", "Info", "Warn", "Error"}
)

// vocabulary holds the events and fields that log calls use and the faults of
// such calls, each with its position.
type vocabulary struct {
	events, fields, faults map[string]string
}

// collect adds the events and fields of all log calls in a Go file.
func (v *vocabulary) collect(path string, source any) error {
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, source, 0)
	if err != nil {
		return err
	}
	literal := func(expression ast.Expr) (string, bool) {
		basic, ok := expression.(*ast.BasicLit)
		if !ok {
			return "", false
		}
		text, err := strconv.Unquote(basic.Value)
		return text, err == nil
	}
	ast.Inspect(file, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !loggerName.MatchString(lastName(method.X)) {
			return true
		}
		where := set.Position(call.Pos()).String()
		pairs := call.Args
		switch {
		case slices.Contains(levels, method.Sel.Name):
			event, ok := literal(call.Args[0])
			if !ok {
				v.faults[where] = "the event is not a literal"
				return true
			}
			v.events[event] = where
			pairs = pairs[1:]
		case method.Sel.Name != "With":
			return true
		}
		if len(pairs)%2 != 0 || call.Ellipsis.IsValid() {
			v.faults[where] = "keys and values are not in pairs"
			return true
		}
		for i := 0; i < len(pairs); i += 2 {
			if key, ok := literal(pairs[i]); ok {
				v.fields[key] = where
			} else {
				v.faults[where] = "a key is not a literal"
			}
		}
		return true
	})
	return nil
}

// lastName returns the last identifier of a selector expression.
func lastName(expression ast.Expr) string {
	switch x := expression.(type) {
	case *ast.Ident:
		return x.Name
	case *ast.SelectorExpr:
		return x.Sel.Name
	default:
		return ""
	}
}

func newVocabulary() *vocabulary {
	return &vocabulary{events: make(map[string]string), fields: make(map[string]string), faults: make(map[string]string)}
}

// missingFrom returns the used words that the list lacks, with their positions.
func missingFrom(used, list map[string]string) []string {
	var missing []string
	for word, where := range used {
		if _, ok := list[word]; !ok {
			missing = append(missing, word+" at "+where)
		}
	}
	return missing
}

var _ = Describe("the events and fields of log lines", func() {
	It("are all listed, and all that are listed are used", func() {
		used := newVocabulary()
		Expect(filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			generated := strings.HasSuffix(path, ".pb.go") || strings.HasSuffix(path, ".twirp.go")
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || generated {
				return err
			}
			return used.collect(path, nil)
		})).To(Succeed())
		Expect(used.faults).To(BeEmpty())
		Expect(missingFrom(used.events, logs.Events)).To(BeEmpty())
		Expect(missingFrom(used.fields, logs.Fields)).To(BeEmpty())
		// BoundedWriter writes this event without a logger.
		used.events["lines_dropped"] = ""
		Expect(missingFrom(logs.Events, used.events)).To(BeEmpty())
		Expect(missingFrom(logs.Fields, used.fields)).To(BeEmpty())
	})

	DescribeTable("are found in", func(call string, events, fields, faults int) {
		found := newVocabulary()
		Expect(found.collect("x.go", "package x\nfunc f() { "+call+" }")).To(Succeed())
		Expect(found.events).To(HaveLen(events))
		Expect(found.fields).To(HaveLen(fields))
		Expect(found.faults).To(HaveLen(faults))
	},
		Entry("a call", `logger.Info("a", "b", 1, "c", 2)`, 1, 2, 0),
		Entry("a call of a logger in a field", `x.options.Logger.Warn("a", "b", 1)`, 1, 1, 0),
		Entry("fixed pairs", `x.log.With("b", 1)`, 0, 1, 0),
		Entry("no call on anything but a logger", `x.store.Info("a", "b", 1)`, 0, 0, 0),
		Entry("an event that is not a literal", `logger.Info(name, "b", 1)`, 0, 0, 1),
		Entry("a key that is not a literal", `logger.Info("a", name, 1)`, 1, 0, 1),
		Entry("a key without a value", `logger.Info("a", "b")`, 1, 0, 1),
		Entry("pairs that are a slice", `logger.Info("a", pairs...)`, 1, 0, 1),
	)

	It("are described in docs/LOGS.md", func() {
		var text strings.Builder
		text.WriteString("# Events and fields of the log lines\n\nGenerated from logs/words.go by `go test ./logs -update`. A line is a list of\n")
		text.WriteString("key=value pairs; `time`, `level`, `logger` and `event` come first.\n")
		for _, part := range []struct {
			title, column string
			list          map[string]string
		}{{"Events", "event", logs.Events}, {"Fields", "field", logs.Fields}} {
			fmt.Fprintf(&text, "\n## %s\n\n| %s | meaning |\n| --- | --- |\n", part.title, part.column)
			for _, word := range slices.Sorted(maps.Keys(part.list)) {
				fmt.Fprintf(&text, "| `%s` | %s |\n", word, part.list[word])
			}
		}
		if *update {
			Expect(os.WriteFile(page, []byte(text.String()), 0o600)).To(Succeed())
		}
		known, err := os.ReadFile(page)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(known)).To(Equal(text.String()))
	})
})
