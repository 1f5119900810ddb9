package log

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
)

const (
	// inlineBytes is the size up to which a checkpoint is one object, and partBytes the size of the parts of a larger
	// one. A value on the platform has at most 1 MB, and JSON makes bytes a third longer.
	inlineBytes = 512 << 10
	partBytes   = 512 << 10
	// checkpointTimeout bounds the write of a checkpoint and its parts.
	checkpointTimeout = 10 * time.Second
)

// checkpoint is the object under a checkpoint key. It is written after its parts, so it is never incomplete.
type checkpoint struct {
	Revision core.Revision `json:"revision"`
	// Sum is the SHA-256 of the compressed set, in hexadecimal.
	Sum string `json:"sum"`
	// Data is the compressed set, or empty when Parts lists the keys of its parts.
	Data  []byte   `json:"data,omitempty"`
	Parts []string `json:"parts,omitempty"`
}

// latest is the object under latestKey.
type latest struct {
	Revision core.Revision `json:"revision"`
}

func (s *service) readLatest(ctx context.Context) (latest, uint64, error) {
	object, err := s.Platform.Get(ctx, latestKey)
	if core.CodeOf(err) == core.CodeNotFound {
		return latest{}, 0, nil
	}
	if err != nil {
		return latest{}, 0, err
	}
	var l latest
	if err := json.Unmarshal(object.Value, &l); err != nil {
		s.Log.Error("config_checkpoint_refused", "key", latestKey, "error", err.Error())
	}
	return l, object.Version, nil
}

// readCheckpoint restores the last checkpoint if it is ahead of the log. An unusable checkpoint is logged and skipped,
// which only makes the replay longer. An error means that the platform did not answer.
func (s *service) readCheckpoint(ctx context.Context) error {
	l, _, err := s.readLatest(ctx)
	if err != nil || l.Revision <= s.logRevision() {
		return err
	}
	set, err := s.fetchCheckpoint(ctx, l.Revision)
	if core.CodeOf(err) == core.CodePlatformUnavailable {
		return err
	}
	if err != nil {
		s.Log.Error("config_checkpoint_refused", "revision", uint64(l.Revision), "error", err.Error())
		return nil
	}
	s.restore(sourcePlatform, set)
	return nil
}

func (s *service) fetchCheckpoint(ctx context.Context, revision core.Revision) (*core.ConfigSet, error) {
	object, err := s.read(ctx, checkpointKey(revision))
	if err != nil {
		return nil, err
	}
	var c checkpoint
	if err := json.Unmarshal(object.Value, &c); err != nil {
		return nil, err
	}
	data := c.Data
	for _, key := range c.Parts {
		part, err := s.read(ctx, key)
		if err != nil {
			return nil, err
		}
		data = append(data, part.Value...)
	}
	if c.Sum != checksum(data) {
		return nil, core.Errorf(core.CodeConflict, "the content of checkpoint %d does not match its checksum", revision)
	}
	set, err := decodeSet(data)
	if err == nil && set.Revision != revision {
		err = core.Errorf(core.CodeConflict, "checkpoint %d holds revision %d", revision, set.Revision)
	}
	return set, err
}

func checksum(data []byte) string { return fmt.Sprintf("%x", sha256.Sum256(data)) }

// writeCheckpoint writes a checkpoint if this VM is a checkpointer and the last one is at least ChangesPerCheckpoint
// behind. After a failure, the other checkpointer writes it, or this VM after its next watch.
func (s *service) writeCheckpoint() {
	s.mu.Lock()
	set := s.log.Set()
	s.mu.Unlock()
	if !s.currentPartners().checkpointer || set.Revision < s.checkpointed+config.ChangesPerCheckpoint {
		return
	}
	ctx, cancel := context.WithTimeout(s.base, checkpointTimeout)
	defer cancel()
	l, version, err := s.readLatest(ctx)
	if err != nil {
		return
	}
	s.checkpointed = max(s.checkpointed, l.Revision)
	if set.Revision < s.checkpointed+config.ChangesPerCheckpoint {
		return
	}
	if err := s.storeCheckpoint(ctx, set); err != nil {
		s.Log.Warn("config_checkpoint_not_written", "revision", uint64(set.Revision), "error", err.Error())
		return
	}
	if err := s.storeLatest(ctx, latest{Revision: set.Revision}, version); err == nil {
		s.checkpointed = set.Revision
		s.Log.Info("config_checkpoint_written", "revision", uint64(set.Revision))
	}
}

func (s *service) storeCheckpoint(ctx context.Context, set *core.ConfigSet) error {
	data, err := encodeSet(set)
	if err != nil {
		return err
	}
	c := checkpoint{Revision: set.Revision, Sum: checksum(data), Data: data}
	if len(data) > inlineBytes {
		c.Data = nil
		if c.Parts, err = s.storeParts(ctx, set.Revision, data); err != nil {
			return err
		}
	}
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_, err = s.Platform.Create(ctx, checkpointKey(set.Revision), raw)
	if core.CodeOf(err) == core.CodeConflict {
		// The other checkpointer has stored the same set.
		return nil
	}
	return err
}

// storeParts writes the parts under keys of this process, so that parts of two checkpointers never mix.
func (s *service) storeParts(ctx context.Context, revision core.Revision, data []byte) ([]string, error) {
	var keys []string
	for at := 0; at < len(data); at += partBytes {
		key := fmt.Sprintf("%s%020d/%s-%d/%04d", partsPrefix, revision, s.Identity.VM, s.Identity.Incarnation, len(keys))
		_, err := s.Platform.Create(ctx, key, data[at:min(at+partBytes, len(data))])
		if err != nil && core.CodeOf(err) != core.CodeConflict {
			return nil, err
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// storeLatest advances the hint. A conflict means that the other checkpointer advanced it.
func (s *service) storeLatest(ctx context.Context, l latest, version uint64) error {
	raw, err := json.Marshal(l)
	if err != nil {
		return err
	}
	if version == 0 {
		_, err = s.Platform.Create(ctx, latestKey, raw)
		return err
	}
	_, err = s.Platform.Update(ctx, latestKey, raw, version)
	return err
}
