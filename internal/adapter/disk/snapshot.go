package disk

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/quorum"
)

const snapshotSuffix = ".snap"

// A snapshot file holds two frames, metadata and data, with these sequence numbers.
const (
	snapshotMetaFrame = 1
	snapshotDataFrame = 2
)

// snapshotMeta is the metadata frame of a snapshot file.
type snapshotMeta struct {
	Identity uint64              `cbor:"1,keyasint"`
	Group    port.GroupID        `cbor:"2,keyasint"`
	Meta     quorum.SnapshotMeta `cbor:"3,keyasint"`
}

func snapshotName(group port.GroupID, meta quorum.SnapshotMeta) string {
	return fmt.Sprintf("snapshot-%08x-%016x-%016x%s", uint32(group), meta.Index, meta.Term, snapshotSuffix)
}

// writeFile creates a file atomically: after a crash it is either complete or
// missing.
func writeFile(fs FS, name string, content []byte) error {
	temp := name + tempSuffix
	file, err := fs.Create(temp)
	if err != nil {
		return eris.Wrapf(err, "create %s", temp)
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Write(content); err != nil {
		return eris.Wrapf(err, "write %s", temp)
	}
	if err := file.Sync(); err != nil {
		return eris.Wrapf(err, "sync %s", temp)
	}
	if err := fs.Rename(temp, name); err != nil {
		return eris.Wrapf(err, "rename %s", temp)
	}
	return eris.Wrap(fs.SyncFolder(), "sync folder")
}

func encodeSnapshot(identity uint64, group port.GroupID, snapshot quorum.Snapshot) ([]byte, error) {
	if len(snapshot.Data) > maxPayload {
		return nil, eris.Wrapf(ErrUpdate, "snapshot of %d bytes", len(snapshot.Data))
	}
	meta := wire.MustMarshal(snapshotMeta{Identity: identity, Group: group, Meta: snapshot.Meta})
	content := make([]byte, 0, 2*(frameHeaderSize+frameEndSize)+len(meta)+len(snapshot.Data))
	content = seedOf(identity).appendFrame(content, snapshotMetaFrame, meta)
	return seedOf(identity).appendFrame(content, snapshotDataFrame, snapshot.Data), nil
}

// decodeSnapshot returns the data of a snapshot file. The file was synced before the
// log referred to it, so a torn frame is reported as damage as well.
func decodeSnapshot(identity uint64, group port.GroupID, ref snapshotRef, content []byte) ([]byte, error) {
	damaged := func(offset int, reason string) ([]byte, error) {
		return nil, &DamageError{File: ref.File, Offset: int64(offset), Reason: reason}
	}
	var parts [][]byte
	end, _, err := seedOf(identity).walkFrames(ref.File, content, 0, func(payload []byte) error {
		parts = append(parts, payload)
		return nil
	})
	if err != nil {
		return nil, err
	}
	if len(parts) != snapshotDataFrame || end != len(content) {
		return damaged(end, "snapshot file is incomplete")
	}
	var meta snapshotMeta
	if err := wire.Unmarshal(parts[0], &meta); err != nil {
		return damaged(0, "snapshot metadata: "+err.Error())
	}
	if meta.Identity != identity || meta.Group != group || meta.Meta.Index != ref.Meta.Index || meta.Meta.Term != ref.Meta.Term {
		return damaged(0, "snapshot does not match its reference in the log")
	}
	return parts[1], nil
}

func isTempFile(name string) bool {
	return strings.HasSuffix(name, tempSuffix)
}
