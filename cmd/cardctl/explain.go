package main

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"cardamomcourse.example/cardamom/reqlog"
)

// lineWire is the JSON form of a log line of a request's timeline.
type lineWire struct {
	Time   string            `json:"time"`
	Source string            `json:"source"`
	Event  string            `json:"event"`
	Pairs  map[string]string `json:"pairs"`
}

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "explain REQUEST [LOG...]", Short: "Show what happened to a request, from log files or standard input", Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			lines, err := readLogs(command.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			timeline := reqlog.NewTimeline(args[0], lines)
			if !timeline.Found() {
				return eris.Errorf("none of %d log lines names request %s: either it was served in time (only one in 16 of those is logged) or another instance received it", len(lines), args[0])
			}
			asJSON, err := command.Flags().GetBool("json")
			if err != nil {
				return err
			}
			if !asJSON {
				return timeline.Print(command.OutOrStdout())
			}
			encoder := json.NewEncoder(command.OutOrStdout())
			encoder.SetIndent("", "  ")
			return encoder.Encode(map[string]any{"request": args[0], "lines": wireLines(timeline.Lines()), "stream": wireLines(timeline.Stream()), "around": wireLines(timeline.Related())})
		},
	}
}

// readLogs reads the log files, or standard input if none is given.
func readLogs(in io.Reader, files []string) ([]reqlog.Line, error) {
	if len(files) == 0 {
		lines, _, err := reqlog.Read("-", in)
		return lines, err
	}
	var all []reqlog.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, eris.Wrap(err, "open log")
		}
		lines, skipped, err := reqlog.Read(strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		if len(lines) == 0 {
			return nil, eris.Errorf("%s: none of %d lines is a log line", name, skipped)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func wireLines(lines []reqlog.Line) []lineWire {
	wire := make([]lineWire, 0, len(lines))
	for _, line := range lines {
		pairs := make(map[string]string, len(line.Pairs()))
		for _, pair := range line.Pairs() {
			pairs[pair.Key] = pair.Value
		}
		wire = append(wire, lineWire{Time: line.Time().UTC().Format("2006-01-02T15:04:05.000Z"), Source: line.Source(), Event: line.Event(), Pairs: pairs})
	}
	return wire
}
