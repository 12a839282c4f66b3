package standin

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
)

// blockData returns the bytes of a block: a line with the JSON encoding of
// value, followed by filler that represents the KV cache, up to size bytes.
func blockData(value content, size int64) []byte {
	data := append(marshal(value), '\n')
	state := value.Prefix
	for int64(len(data)) < size {
		state = mix(state + 1)
		data = append(data, byte(state))
	}
	return data
}

// parseBlock decodes the first line of a block.
func parseBlock(data []byte) (content, error) {
	var value content
	head, _, ok := bytes.Cut(data, []byte{'\n'})
	if !ok {
		return value, errors.New("block has no header")
	}
	err := json.Unmarshal(head, &value)
	return value, err
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var req port.ImportRequest
	if err := upstreamapi.DecodeBounded(r.Body, upstreamapi.MaxRequestBytes, &req); err != nil {
		upstreamapi.WriteError(w, http.StatusBadRequest, "invalid_import", err.Error())
		return
	}
	result := port.ImportResult{Present: []port.BlockID{}, Missing: []port.BlockID{}}
	for _, source := range req.Sources {
		if e.hasBlock(source.Block) {
			result.Present = append(result.Present, source.Block)
			continue
		}
		if err := e.importBlock(r.Context(), req, source); err != nil {
			e.counters.importsRejected.Add(1)
			result.Missing = append(result.Missing, source.Block)
			continue
		}
		result.Bytes += source.Bytes
		result.Present = append(result.Present, source.Block)
	}
	e.counters.importedBytes.Add(uint64(result.Bytes))
	upstreamapi.WriteJSON(w, http.StatusOK, result)
}

func (e *Engine) hasBlock(id port.BlockID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.cache.get(id)
	return ok
}

// importBlock fetches one block, verifies it and stores it in the cache.
//
// The slot may have been freed, reused or damaged since the request was made.
// The checks of generation, length and checksum together detect each of these
// cases; the block is then reported as missing and the prompt is recomputed.
func (e *Engine) importBlock(ctx context.Context, req port.ImportRequest, source port.BlockSource) error {
	data, err := e.fetchSlot(ctx, source)
	if err != nil {
		return err
	}
	if int64(len(data)) != source.Bytes {
		return fmt.Errorf("block is %d bytes, want %d", len(data), source.Bytes)
	}
	if xxhash.Sum64(data) != source.Checksum {
		return errors.New("block has another checksum")
	}
	value, err := parseBlock(data)
	if err != nil {
		return err
	}
	if value.Model != req.Model || value.Version != req.Version || value.Adapter != req.Adapter {
		return errors.New("block belongs to other weights")
	}
	if err := sleep(ctx, time.Until(e.link.reserve(time.Now(), int64(len(data))))); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.put(source.Block, value)
	return nil
}

func slotURL(address, slot string) string {
	return "http://" + address + upstreamapi.PathSlots + url.PathEscape(slot)
}

func (e *Engine) fetchSlot(ctx context.Context, source port.BlockSource) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, slotURL(source.Address, source.Slot), nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(upstreamapi.HeaderGeneration, strconv.FormatUint(source.Generation, 10))
	resp, err := e.send(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("store answered status %d", resp.StatusCode)
	}
	if resp.Header.Get(upstreamapi.HeaderGeneration) != strconv.FormatUint(source.Generation, 10) {
		return nil, errors.New("store answered another generation")
	}
	return upstreamapi.ReadBounded(resp.Body, source.Bytes)
}

// send sends a request to a store host under a new request identity.
func (e *Engine) send(req *http.Request) (*http.Response, error) {
	id, err := ident.NewRequest(rand.Reader)
	if err != nil {
		return nil, err
	}
	return e.client.Do(req, id, 1)
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	var req port.ExportRequest
	if err := upstreamapi.DecodeBounded(r.Body, upstreamapi.MaxRequestBytes, &req); err != nil {
		upstreamapi.WriteError(w, http.StatusBadRequest, "invalid_export", err.Error())
		return
	}
	result := port.ExportResult{Written: []port.ExportedBlock{}, Missing: []port.BlockID{}}
	for _, target := range req.Targets {
		written, err := e.exportBlock(r.Context(), req, target)
		if err != nil {
			result.Missing = append(result.Missing, target.Block)
			continue
		}
		e.counters.exportedBytes.Add(uint64(written.Bytes))
		result.Written = append(result.Written, written)
	}
	upstreamapi.WriteJSON(w, http.StatusOK, result)
}

func (e *Engine) exportBlock(ctx context.Context, req port.ExportRequest, target port.ExportTarget) (port.ExportedBlock, error) {
	e.mu.Lock()
	value, ok := e.cache.get(target.Block)
	e.mu.Unlock()
	if !ok || value.Model != req.Model || value.Version != req.Version || value.Adapter != req.Adapter {
		return port.ExportedBlock{}, errors.New("block is not cached under these weights")
	}
	data := blockData(value, e.options.BlockBytes)
	if err := sleep(ctx, time.Until(e.link.reserve(time.Now(), int64(len(data))))); err != nil {
		return port.ExportedBlock{}, err
	}
	if err := e.writeSlot(ctx, target, data); err != nil {
		return port.ExportedBlock{}, err
	}
	return port.ExportedBlock{Block: target.Block, Bytes: int64(len(data)), Checksum: xxhash.Sum64(data)}, nil
}

func (e *Engine) writeSlot(ctx context.Context, target port.ExportTarget, data []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, slotURL(target.Address, target.Slot), bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set(upstreamapi.HeaderGeneration, strconv.FormatUint(target.Generation, 10))
	resp, err := e.send(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("store answered status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, upstreamapi.MaxErrorBytes))
	return err
}
