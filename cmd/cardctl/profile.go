package main

import (
	"context"
	"errors"
	"fmt"
	"os/user"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pmezard/go-difflib/difflib"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/conf"
	"cardamomcourse.example/cardamom/policy"
	"cardamomcourse.example/cardamom/revs"
	"cardamomcourse.example/cardamom/table"
)

const (
	// callTimeout bounds one call to the table or to an instance.
	callTimeout = 5 * time.Second
	// publishTimeout bounds a publication including its retries.
	publishTimeout = 60 * time.Second
	// diffContext is how many unchanged lines a diff shows around a change.
	diffContext = 2
)

// profileFlags are the flags of the commands that call the table.
type profileFlags struct {
	table  string
	base   int64
	edit   string
	editor string
	note   string
}

func profileCommand() *cobra.Command {
	flags := &profileFlags{}
	command := &cobra.Command{Use: "profile", Short: "Check, compare and publish profile documents"}
	command.PersistentFlags().StringVar(&flags.table, "table", "127.0.0.1:7301", "address of the platform's table")
	command.AddCommand(checkCommand(), diffCommand(flags), publishCommand(flags), historyCommand(flags), rollbackCommand(flags))
	return command
}

func (f *profileFlags) store() *table.HTTP { return table.NewHTTP(f.table, callTimeout) }

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Check a profile document", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			document, _, err := readDocument(args[0])
			if err != nil {
				return err
			}
			wire := checkedWire{File: args[0], OK: true, Models: len(document.Models())}
			return show(command, wire, fmt.Sprintf("%s: ok, %d models and adapters", args[0], wire.Models))
		},
	}
}

func readDocument(path string) (*policy.Document, []byte, error) {
	body, err := conf.ReadFile(path)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read document")
	}
	document, err := policy.Parse(path, body)
	return document, body, err
}

func diffCommand(flags *profileFlags) *cobra.Command {
	return &cobra.Command{
		Use: "diff FILE", Short: "Compare a document with the newest revision", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			_, body, err := readDocument(args[0])
			if err != nil {
				return err
			}
			head, err := newestRevision(command.Context(), flags.store())
			if err != nil {
				return err
			}
			text, err := diff(head, body, args[0])
			if err != nil {
				return err
			}
			return show(command, diffWire{Revision: uint64(head.Number), Diff: text}, text)
		},
	}
}

type diffWire struct {
	Revision uint64 `json:"revision"`
	Diff     string `json:"diff"`
}

// newestRevision returns the newest revision with its document.
func newestRevision(ctx context.Context, store table.Reader) (revs.Revision, error) {
	head, err := revs.Head(ctx, store)
	if err != nil || head.Number == 0 {
		return head, err
	}
	return revs.Get(ctx, store, head.Number)
}

func diff(head revs.Revision, body []byte, name string) (string, error) {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(string(head.Document)), FromFile: fmt.Sprintf("revision %d", head.Number),
		B: difflib.SplitLines(string(body)), ToFile: name, Context: diffContext,
	})
	return text, eris.Wrap(err, "compare")
}

func publishCommand(flags *profileFlags) *cobra.Command {
	command := &cobra.Command{
		Use: "publish FILE", Short: "Make a document the next revision", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			_, body, err := readDocument(args[0])
			if err != nil {
				return err
			}
			return flags.publish(command, body, args[0])
		},
	}
	flags.addTo(command)
	return command
}

func (f *profileFlags) addTo(command *cobra.Command) {
	command.Flags().Int64Var(&f.base, "base", -1, "revision that the edit is based on, the newest if negative")
	command.Flags().StringVar(&f.edit, "edit", "", "ID of the edit, a new one if empty; publish again with the same ID to resolve an unknown outcome")
	command.Flags().StringVar(&f.editor, "editor", "", "name of the editor, the current user if empty")
	command.Flags().StringVar(&f.note, "note", "", "why")
}

// revisionWire is the JSON form of a revision.
type revisionWire struct {
	Revision uint64    `json:"revision"`
	Edit     string    `json:"edit"`
	Editor   string    `json:"editor"`
	At       time.Time `json:"at"`
	Note     string    `json:"note,omitempty"`
}

func newRevisionWire(r revs.Revision) revisionWire {
	return revisionWire{Revision: uint64(r.Number), Edit: r.EditID, Editor: r.Editor, At: r.PublishedAt, Note: r.Note}
}

func (f *profileFlags) publish(command *cobra.Command, body []byte, name string) error {
	ctx, cancel := context.WithTimeout(command.Context(), publishTimeout)
	defer cancel()
	edit := revs.Edit{ID: f.edit, Editor: f.editor, Note: f.note, Document: body, Base: cardamom.Revision(max(f.base, 0))}
	if edit.ID == "" {
		edit.ID = uuid.NewString()
	}
	if edit.Editor == "" {
		edit.Editor = currentUser()
	}
	if f.base < 0 {
		head, err := revs.Head(ctx, f.store())
		if err != nil {
			return err
		}
		edit.Base = head.Number
	}
	revision, err := revs.Publish(ctx, f.store(), edit, time.Now())
	if errors.Is(err, revs.ErrConflict) {
		return f.explainConflict(ctx, body, name, err)
	}
	if err != nil {
		return err
	}
	return show(command, newRevisionWire(revision), fmt.Sprintf("published revision %d as edit %s", revision.Number, revision.EditID))
}

// explainConflict adds the diff against the revision that won to the error.
func (f *profileFlags) explainConflict(ctx context.Context, body []byte, name string, conflict error) error {
	head, err := newestRevision(ctx, f.store())
	if err != nil {
		return conflict
	}
	text, err := diff(head, body, name)
	if err != nil {
		return conflict
	}
	return eris.Wrapf(conflict, "revision %d by %s (edit %s) stands; against it:\n%s", head.Number, head.Editor, head.EditID, text)
}

func currentUser() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

func historyCommand(flags *profileFlags) *cobra.Command {
	return &cobra.Command{
		Use: "history", Short: "List all revisions", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			history, err := revs.History(command.Context(), flags.store())
			if err != nil {
				return err
			}
			wires := make([]revisionWire, 0, len(history))
			var lines []string
			for _, r := range history {
				wires = append(wires, newRevisionWire(r))
				lines = append(lines, fmt.Sprintf("%6d  %s  %-16s %s %s", r.Number, r.PublishedAt.Format(time.RFC3339), r.Editor, r.EditID, r.Note))
			}
			return show(command, wires, strings.Join(lines, "\n"))
		},
	}
}

func rollbackCommand(flags *profileFlags) *cobra.Command {
	var to uint64
	command := &cobra.Command{
		Use: "rollback", Short: "Publish an earlier document as a new revision", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			earlier, err := revs.Get(command.Context(), flags.store(), cardamom.Revision(to))
			if err != nil {
				return err
			}
			if flags.note == "" {
				flags.note = fmt.Sprintf("rollback to %d", to)
			}
			return flags.publish(command, earlier.Document, fmt.Sprintf("revision %d", to))
		},
	}
	flags.addTo(command)
	command.Flags().Uint64Var(&to, "to", 0, "revision to restore")
	_ = command.MarkFlagRequired("to")
	return command
}
