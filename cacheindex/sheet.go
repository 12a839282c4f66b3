package cacheindex

// Batch is a run of records of one source and one salt, as they are sent: what
// they have in common stands once.
type Batch struct {
	Address string `cbor:"1,keyasint"`
	// Cleared tells that the shelf is empty and in another life, Life, before
	// the parts.
	Cleared     bool   `cbor:"2,keyasint,omitempty"`
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	Salt        string `cbor:"4,keyasint,omitempty"`
	// Parts became whole with as many Tokens, or ended where those are zero.
	Parts  []string `cbor:"5,keyasint,omitempty"`
	Tokens []int    `cbor:"6,keyasint,omitempty"`
	// Next is how far the source's events are followed with the last part.
	Next uint64 `cbor:"7,keyasint,omitempty"`
}

// fold gathers records into sheets.
func fold(records []Record) []Batch {
	var sheets []Batch
	for _, record := range records {
		salt, part := record.Change.Key.Salt, record.Change.Key.Part
		last := len(sheets) - 1
		joins := last >= 0 && !record.Cleared && sheets[last].Next == 0 && sheets[last].Address == record.Address &&
			(len(sheets[last].Parts) == 0 || part == "" || sheets[last].Salt == salt)
		if !joins {
			sheets = append(sheets, Batch{Address: record.Address, Cleared: record.Cleared, Incarnation: record.Incarnation})
			last++
		}
		sheet := &sheets[last]
		if part != "" {
			sheet.Salt = salt
			sheet.Parts = append(sheet.Parts, part)
			sheet.Tokens = append(sheet.Tokens, record.Change.Tokens)
		}
		sheet.Next = record.Next
	}
	return sheets
}

// unfold returns the records of sheets.
func unfold(sheets []Batch) []Record {
	var records []Record
	for i := range sheets {
		sheet := &sheets[i]
		if sheet.Cleared || len(sheet.Parts) == 0 {
			records = append(records, Record{Address: sheet.Address, Cleared: sheet.Cleared, Incarnation: sheet.Incarnation})
		}
		for at, part := range sheet.Parts[:min(len(sheet.Parts), len(sheet.Tokens))] {
			records = append(records, Record{
				Address: sheet.Address, Change: Change{Key: Key{Salt: sheet.Salt, Part: part}, Tokens: sheet.Tokens[at]},
			})
		}
		records[len(records)-1].Next = sheet.Next
	}
	return records
}
