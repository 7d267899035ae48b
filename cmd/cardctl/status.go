package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// statusWire holds the fields of an instance's status that cardctl shows.
type statusWire struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"place"`
	Ready      bool   `json:"ready"`
	Unready    string `json:"unready,omitempty"`
	Leaving    bool   `json:"leaving"`
	Revision   uint64 `json:"revision"`
	Members    []struct {
		ID         string `json:"id"`
		DataCentre string `json:"place"`
		Revision   uint64 `json:"revision"`
	} `json:"members"`
	// Claims lists the holds on the shards of the claims (the records of
	// idempotency keys): the instance that owns each shard and its witness, the
	// instance that keeps a second copy of the shard.
	Claims []struct {
		Resource string `json:"resource"`
		Holder   string `json:"holder"`
		Witness  string `json:"witness,omitempty"`
	} `json:"claims"`
	// Cells lists the cells that this instance follows, with the numbers of their
	// models and replicas. A cell is a set of engines whose loads one instance
	// plans.
	Cells []struct {
		Cell     string `json:"cell"`
		Models   int    `json:"models"`
		Replicas int    `json:"replicas"`
	} `json:"cells"`
}

// statusCommand reads the status from the host:port at which the instance serves
// callers.
func statusCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use: "status", Short: "Show the status of an instance", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			client := &http.Client{Timeout: callTimeout}
			response, err := client.Get("http://" + address + "/v1/status")
			if err != nil {
				return eris.Wrap(err, "read status")
			}
			defer response.Body.Close()
			var status statusWire
			if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
				return eris.Wrap(err, "decode status")
			}
			return show(command, status, status.text())
		},
	}
	command.Flags().StringVar(&address, "instance", "127.0.0.1:7400", "address of the instance for callers")
	return command
}

func (s statusWire) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s in %s: ready=%t leaving=%t revision=%d %s\n", s.Instance, s.DataCentre, s.Ready, s.Leaving, s.Revision, s.Unready)
	for _, m := range s.Members {
		fmt.Fprintf(&text, "member  %-24s %-16s revision %d\n", m.ID, m.DataCentre, m.Revision)
	}
	for _, c := range s.Claims {
		fmt.Fprintf(&text, "%-31s held by %s, witness %s\n", c.Resource, c.Holder, c.Witness)
	}
	for _, c := range s.Cells {
		fmt.Fprintf(&text, "cell    %-24s %d models loaded, %d replicas\n", c.Cell, c.Models, c.Replicas)
	}
	return strings.TrimRight(text.String(), "\n")
}
