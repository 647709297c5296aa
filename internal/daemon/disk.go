package daemon

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/renameio/v2"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/wire"
)

// This file stores the control state on disk.
//
// The data folder has five files. identity: the cluster, written when the replica joins or
// bootstraps it, and the incarnation, written once, so that a VM whose folder was lost returns
// as another replica. log: the records that core.Persist orders, each with its length and
// checksum. snapshot: one record that replaces the beginning of the log. targets: hints of
// targets; those that are lost are learned again from heartbeats. lock: locked while a process
// uses the folder.
//
// Invariants: nothing is reported as persisted before it is synced; a failed
// write or sync ends the process, since the content of the disk is then unknown.
//
// A crash can leave the last record torn. It was never acknowledged and is
// truncated. A damaged record that others follow was acknowledged: the log is
// refused, since without that record the replica could violate its guarantees.

// ErrDamaged is wrapped by errors about folders that must not be used.
var ErrDamaged = errors.New("damaged data folder")

// ErrInUse is wrapped by errors about folders that already belong to a cluster.
var ErrInUse = errors.New("data folder in use")

const (
	fileIdentity = "identity"
	fileLog      = "log"
	fileSnapshot = "snapshot"
	fileLock     = "lock"
	// fileTargets holds hints; see core.SaveTargets.
	fileTargets = "targets"
	// frameHeaderBytes is the size of the length and checksum before each record.
	frameHeaderBytes = 8
	// maxRecordBytes bounds the size of a record.
	maxRecordBytes = 1 << 30
	folderMode     = 0o750
	fileMode       = 0o640
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// identity is the content of the identity file.
type identity struct {
	Cluster     string           `cbor:"cluster"`
	Incarnation core.Incarnation `cbor:"incarnation"`
}

// logRecord is one record of the log.
type logRecord struct {
	Hard         *core.HardState `cbor:"hard,omitempty"`
	TruncateFrom core.Index      `cbor:"truncate_from,omitempty"`
	Entries      []core.Entry    `cbor:"entries,omitempty"`
}

// folder is an open data folder.
type folder struct {
	path     string
	lock     *os.File
	log      *os.File
	identity identity
	// hintsErr is why some hints were not used, or nil.
	hintsErr error
}

// openFolder opens a data folder, creates it if it doesn't exist, and reads it.
func openFolder(path string) (*folder, core.Recovered, error) {
	f, err := lockFolder(path)
	if err != nil {
		return nil, core.Recovered{}, err
	}
	recovered, err := f.read()
	if err != nil {
		f.close()
		return nil, core.Recovered{}, err
	}
	return f, recovered, nil
}

func lockFolder(path string) (*folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("data folder: %w; check the setting data and the rights to it", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, fileLock), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("data folder: %w; check the rights to it", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("data folder %s is in use by another process; stop that one first", path)
	}
	return &folder{path: path, lock: lock}, nil
}

// close closes the log and releases the lock.
func (f *folder) close() {
	if f.log != nil {
		f.log.Close()
	}
	f.lock.Close()
}

func (f *folder) filePath(name string) string { return filepath.Join(f.path, name) }

// Bootstrap initializes an empty data folder for the first and only voter of a
// new cluster. It is run once in the lifetime of a deployment.
func Bootstrap(path string, vm core.VMName) error {
	f, err := lockFolder(path)
	if err != nil {
		return err
	}
	defer f.close()
	if _, err := os.Stat(f.filePath(fileIdentity)); err == nil {
		return fmt.Errorf("%w: %s belongs to a cluster already; bootstrap is done once, on one VM with an empty folder", ErrInUse, path)
	}
	cluster := make([]byte, 8)
	if _, err := rand.Read(cluster); err != nil {
		return err
	}
	f.identity = identity{Cluster: hex.EncodeToString(cluster), Incarnation: newIncarnation()}
	self := core.ReplicaID{VM: vm, Incarnation: f.identity.Incarnation}
	snapshot := core.Snapshot{Index: 1, Term: 1, Members: core.NewMembership(self)}
	if err := f.writeSnapshot(snapshot); err != nil {
		return err
	}
	return f.writeIdentity()
}

func newIncarnation() core.Incarnation {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return core.Incarnation(binary.LittleEndian.Uint64(b[:]))
}

func (f *folder) writeIdentity() error {
	data, err := wire.Marshal(f.identity)
	if err != nil {
		return err
	}
	return f.replaceFile(fileIdentity, frame(data))
}

// replaceFile replaces a file atomically and syncs the folder.
func (f *folder) replaceFile(name string, data []byte) error {
	if err := renameio.WriteFile(f.filePath(name), data, fileMode); err != nil {
		return fmt.Errorf("data folder: %w; free space or mend the disk, then start again", err)
	}
	return f.syncFolder()
}

func (f *folder) syncFolder() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

func frame(data []byte) []byte {
	framed := make([]byte, frameHeaderBytes, frameHeaderBytes+len(data))
	binary.LittleEndian.PutUint32(framed, uint32(len(data)))
	binary.LittleEndian.PutUint32(framed[4:], crc32.Checksum(data, castagnoli))
	return append(framed, data...)
}

// read reads the whole folder and opens its log for appending.
func (f *folder) read() (core.Recovered, error) {
	if err := f.readIdentity(); err != nil {
		return core.Recovered{}, err
	}
	var recovered core.Recovered
	// The file does not exist before the first snapshot.
	if _, err := f.readRecordFile(fileSnapshot, &recovered.Snapshot); err != nil {
		return core.Recovered{}, err
	}
	if err := f.readLog(&recovered); err != nil {
		return core.Recovered{}, err
	}
	recovered.Targets = f.readTargets()
	return recovered, nil
}

// readTargets returns the hints that can be used. Targets whose hints can't be used are learned
// again from their heartbeats.
func (f *folder) readTargets() []relay.Target {
	var entries []cbor.RawMessage
	if _, err := f.readRecordFile(fileTargets, &entries); err != nil {
		f.hintsErr = err
		return nil
	}
	targets, bad := decodeHints(entries)
	if bad > 0 {
		f.hintsErr = fmt.Errorf("%d of %d hints can't be decoded, the others are kept", bad, len(entries))
	}
	return targets
}

// saveTargets stores hints. They are synced because they are for recovery from a power loss.
func (f *folder) saveTargets(targets []relay.Target) error {
	data, err := wire.Marshal(targets)
	if err != nil {
		return err
	}
	return f.replaceFile(fileTargets, frame(data))
}

func (f *folder) readIdentity() error {
	found, err := f.readRecordFile(fileIdentity, &f.identity)
	if err != nil || found {
		return err
	}
	f.identity = identity{Incarnation: newIncarnation()}
	return f.writeIdentity()
}

// readRecordFile reads a file that holds one record, and reports whether the file exists.
func (f *folder) readRecordFile(name string, into any) (bool, error) {
	data, err := os.ReadFile(f.filePath(name))
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("data folder: %w; check the rights to it", err)
	}
	body, _, ok := unframe(data)
	if !ok {
		return false, f.damagedError(name, 0)
	}
	if err := wire.Unmarshal(body, into); err != nil {
		return false, f.damagedError(name, 0)
	}
	return true, nil
}

func (f *folder) damagedError(name string, offset int64) error {
	return fmt.Errorf("%w: %s is damaged at byte %d; move the folder away and start again: this VM then joins again, under another identity and without a vote until it has caught up", ErrDamaged, f.filePath(name), offset)
}

// unframe returns the body of the first record in data and the bytes after it.
func unframe(data []byte) (body, rest []byte, ok bool) {
	if len(data) < frameHeaderBytes {
		return nil, nil, false
	}
	length := binary.LittleEndian.Uint32(data)
	// No record is empty; a crash can leave zeros at the end.
	if length == 0 || uint64(length) > uint64(len(data)-frameHeaderBytes) {
		return nil, nil, false
	}
	body = data[frameHeaderBytes : frameHeaderBytes+length]
	sum := binary.LittleEndian.Uint32(data[4:])
	return body, data[frameHeaderBytes+length:], crc32.Checksum(body, castagnoli) == sum
}

func (f *folder) readLog(recovered *core.Recovered) error {
	log, err := os.OpenFile(f.filePath(fileLog), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("data folder: %w; check the rights to it", err)
	}
	f.log = log
	data, err := io.ReadAll(bufio.NewReader(log))
	if err != nil {
		return fmt.Errorf("data folder: %w; mend the disk, then start again", err)
	}
	good, err := f.replay(data, recovered)
	if err != nil {
		return err
	}
	if err := log.Truncate(good); err != nil {
		return fmt.Errorf("data folder: %w; mend the disk, then start again", err)
	}
	if _, err := log.Seek(good, io.SeekStart); err != nil {
		return err
	}
	if err := log.Sync(); err != nil {
		return err
	}
	return f.syncFolder()
}

// replay applies the records and returns the length of the intact ones.
func (f *folder) replay(data []byte, recovered *core.Recovered) (int64, error) {
	rest := data
	for len(rest) > 0 {
		offset := int64(len(data) - len(rest))
		body, next, ok := unframe(rest)
		if !ok {
			if isTorn(rest) {
				return offset, nil
			}
			return 0, f.damagedError(fileLog, offset)
		}
		var record logRecord
		if err := wire.Unmarshal(body, &record); err != nil {
			return 0, f.damagedError(fileLog, offset)
		}
		if err := applyRecord(record, recovered); err != nil {
			return 0, fmt.Errorf("%w: %w", f.damagedError(fileLog, offset), err)
		}
		rest = next
	}
	return int64(len(data)), nil
}

// isTorn reports whether a crash can have cut a bad record short: by its length
// it is the last record, or only zeros follow it.
func isTorn(rest []byte) bool {
	if len(rest) < frameHeaderBytes {
		return true
	}
	length := uint64(binary.LittleEndian.Uint32(rest))
	if length >= uint64(len(rest)-frameHeaderBytes) {
		return !hasRecordAfter(rest)
	}
	for _, b := range rest[frameHeaderBytes:] {
		if b != 0 {
			return false
		}
	}
	return true
}

// hasRecordAfter reports whether an intact record follows a bad one whose length points
// past the end. If so, the length was damaged rather than the tail.
func hasRecordAfter(rest []byte) bool {
	for at := frameHeaderBytes; at+frameHeaderBytes < len(rest); at++ {
		length := binary.LittleEndian.Uint32(rest[at:])
		if length == 0 || uint64(length) > uint64(len(rest)-at-frameHeaderBytes) {
			continue
		}
		if _, _, ok := unframe(rest[at:]); ok {
			return true
		}
	}
	return false
}

func applyRecord(record logRecord, recovered *core.Recovered) error {
	if record.Hard != nil {
		recovered.Hard = *record.Hard
	}
	base := recovered.Snapshot.Index
	if from := record.TruncateFrom; from > base && int(from-base-1) < len(recovered.Entries) {
		recovered.Entries = recovered.Entries[:from-base-1]
	}
	for _, e := range record.Entries {
		if e.Index <= base {
			continue
		}
		if e.Index != base+core.Index(len(recovered.Entries))+1 {
			return fmt.Errorf("entry %d does not follow entry %d", e.Index, base+core.Index(len(recovered.Entries)))
		}
		recovered.Entries = append(recovered.Entries, e)
	}
	return nil
}

// append writes a record without syncing it.
func (f *folder) append(p core.Persist) error {
	data, err := wire.Marshal(logRecord{Hard: p.Hard, TruncateFrom: p.TruncateFrom, Entries: p.Entries})
	if err != nil {
		return err
	}
	if len(data) > maxRecordBytes {
		return fmt.Errorf("data folder: a record of %d bytes is over the limit of %d; report it with a dump", len(data), maxRecordBytes)
	}
	if _, err := f.log.Write(frame(data)); err != nil {
		return fmt.Errorf("data folder: %w; free space or mend the disk, then start again", err)
	}
	return nil
}

func (f *folder) sync() error {
	if err := f.log.Sync(); err != nil {
		return fmt.Errorf("data folder: %w; mend the disk, then start again", err)
	}
	return nil
}

func (f *folder) writeSnapshot(s core.Snapshot) error {
	data, err := wire.Marshal(s)
	if err != nil {
		return err
	}
	return f.replaceFile(fileSnapshot, frame(data))
}

// saveSnapshot replaces the snapshot, then the log. A crash between the two
// leaves the old log, whose beginning the snapshot covers.
func (f *folder) saveSnapshot(s core.SaveSnapshot) error {
	if err := f.writeSnapshot(s.Snapshot); err != nil {
		return err
	}
	hard := s.Hard
	data, err := wire.Marshal(logRecord{Hard: &hard, Entries: s.Tail})
	if err != nil {
		return err
	}
	if err := f.replaceFile(fileLog, frame(data)); err != nil {
		return err
	}
	log, err := os.OpenFile(f.filePath(fileLog), os.O_RDWR|os.O_APPEND, fileMode)
	if err != nil {
		return fmt.Errorf("data folder: %w; check the rights to it", err)
	}
	f.log.Close()
	f.log = log
	return nil
}
