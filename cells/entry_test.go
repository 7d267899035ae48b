package cells_test

import (
	"encoding/json"

	"cardamomcourse.example/cardamom/cells"
	"cardamomcourse.example/cardamom/hold"
)

func encodeEntry(placement cells.Placement) hold.Entry {
	body, err := json.Marshal(placement)
	if err != nil {
		panic(err)
	}
	return hold.Entry{ID: placement.Order.ID, Body: body}
}

func encodeAll(placements []cells.Placement) []hold.Entry {
	entries := make([]hold.Entry, 0, len(placements))
	for _, placement := range placements {
		entries = append(entries, encodeEntry(placement))
	}
	return entries
}

func decodeEntry(entry hold.Entry) cells.Placement {
	var placement cells.Placement
	if err := json.Unmarshal(entry.Body, &placement); err != nil {
		panic(err)
	}
	return placement
}
