package log

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// Keys on the platform. Revisions are padded with zeros, so that keys sort by revision.
const (
	changesPrefix     = "config/changes/"
	plansPrefix       = "config/plans/"
	checkpointsPrefix = "config/checkpoints/"
	partsPrefix       = "config/checkpoint-parts/"
	// latestKey names the last checkpoint. It is a hint: a stale value only makes the replay longer.
	latestKey = "config/latest-checkpoint"
)

// maxSetBytes bounds the decoded size of a set.
const maxSetBytes = 256 << 20

func changeKey(r core.Revision) string     { return fmt.Sprintf("%s%020d", changesPrefix, r) }
func checkpointKey(r core.Revision) string { return fmt.Sprintf("%s%020d", checkpointsPrefix, r) }
func planKey(id config.PlanID) string      { return plansPrefix + string(id) }

func encodeChange(change *config.Change) ([]byte, error) { return json.Marshal(change) }

func decodeChange(raw []byte) (config.Change, error) {
	var change config.Change
	err := json.Unmarshal(raw, &change)
	return change, err
}

// encodeSet returns a set as compressed JSON.
func encodeSet(set *core.ConfigSet) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(set); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func decodeSet(data []byte) (*core.ConfigSet, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxSetBytes+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxSetBytes {
		return nil, core.Errorf(core.CodeBodyTooLarge, "the set is larger than %d bytes", maxSetBytes)
	}
	var set core.ConfigSet
	if err := json.Unmarshal(raw, &set); err != nil {
		return nil, err
	}
	for name, service := range set.Services {
		if service == nil {
			return nil, core.Errorf(core.CodeBadRequest, "service %q is null", name)
		}
	}
	return &set, nil
}

// read returns an object. A read may be stale, so a missing object is looked up a second time with a list.
func (s *service) read(ctx context.Context, key string) (kinds.Object, error) {
	object, err := s.Platform.Get(ctx, key)
	if core.CodeOf(err) != core.CodeNotFound {
		return object, err
	}
	listed, err := s.Platform.List(ctx, key, "", 1)
	if err != nil {
		return kinds.Object{}, err
	}
	if len(listed) == 0 || listed[0].Key != key {
		return kinds.Object{}, core.Errorf(core.CodeNotFound, "no object %s", key)
	}
	return listed[0], nil
}

// decodeListed decodes the changes returned by a list or a watch. It stops at the first one that does not match its key,
// because all later ones would follow a gap.
func (s *service) decodeListed(objects []kinds.Object) []config.Change {
	changes := make([]config.Change, 0, len(objects))
	for _, object := range objects {
		change, err := decodeChange(object.Value)
		if err != nil || changeKey(change.Revision) != object.Key {
			s.Log.Error("config_change_refused", "source", sourcePlatform, "key", object.Key)
			break
		}
		changes = append(changes, change)
	}
	return changes
}

func validPlanID(id config.PlanID) bool {
	return config.ValidName(string(id)) && !strings.Contains(string(id), "..")
}
