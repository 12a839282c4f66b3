package cacheindex

import "slices"

// Batch is a sequence of records of one source and one salt in the form in which they are
// sent, with the common fields only once.
type Batch struct {
	Address string `cbor:"1,keyasint"`
	// Cleared indicates that, before Parts are applied, the inventory is empty and belongs
	// to another incarnation, Incarnation.
	Cleared     bool   `cbor:"2,keyasint,omitempty"`
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	Salt        string `cbor:"4,keyasint,omitempty"`
	// Parts lists the parts that changed, and Tokens their tokens as in Change.
	Parts  []string `cbor:"5,keyasint,omitempty"`
	Tokens []int    `cbor:"6,keyasint,omitempty"`
	// Next is the position in the source's event stream up to which the index is current
	// after the last part.
	Next uint64 `cbor:"7,keyasint,omitempty"`
}

// toBatches groups records into batches.
func toBatches(records []Record) []Batch {
	var batches []Batch
	for _, record := range records {
		salt, part := record.Change.Key.Salt, record.Change.Key.Part
		last := len(batches) - 1
		joins := last >= 0 && !record.Cleared && batches[last].Next == 0 && batches[last].Address == record.Address &&
			(len(batches[last].Parts) == 0 || part == "" || batches[last].Salt == salt)
		if !joins {
			batches = append(batches, Batch{Address: record.Address, Cleared: record.Cleared, Incarnation: record.Incarnation})
			last++
		}
		batch := &batches[last]
		if part != "" {
			batch.Salt = salt
			batch.Parts = append(batch.Parts, part)
			batch.Tokens = append(batch.Tokens, record.Change.Tokens)
		}
		batch.Next = record.Next
	}
	return batches
}

// validBatches reports whether each part of the batches has its tokens.
func validBatches(batches []Batch) bool {
	return !slices.ContainsFunc(batches, func(b Batch) bool { return len(b.Parts) != len(b.Tokens) })
}

// toRecords returns the records of valid batches.
func toRecords(batches []Batch) []Record {
	var records []Record
	for i := range batches {
		batch := &batches[i]
		if batch.Cleared || len(batch.Parts) == 0 {
			records = append(records, Record{Address: batch.Address, Cleared: batch.Cleared, Incarnation: batch.Incarnation})
		}
		for at, part := range batch.Parts {
			records = append(records, Record{
				Address: batch.Address, Change: Change{Key: Key{Salt: batch.Salt, Part: part}, Tokens: batch.Tokens[at]},
			})
		}
		records[len(records)-1].Next = batch.Next
	}
	return records
}
