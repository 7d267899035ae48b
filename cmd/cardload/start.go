package main

import (
	"context"
	"os"

	"github.com/rotisserie/eris"

	"cardamomcourse.example/cardamom/fakes/fleet"
)

// startFleet starts a fleet in a temporary folder and returns it with the
// function that stops it and removes the folder.
func startFleet(ctx context.Context, options fleet.Options) (*fleet.Fleet, func(), error) {
	folder, err := os.MkdirTemp("", "cardload-*")
	if err != nil {
		return nil, nil, eris.Wrap(err, "make folder")
	}
	options.Folder = folder
	f, err := fleet.Start(ctx, options)
	if err != nil {
		_ = os.RemoveAll(folder)
		return nil, nil, err
	}
	return f, func() {
		f.Stop()
		_ = os.RemoveAll(folder)
	}, nil
}
